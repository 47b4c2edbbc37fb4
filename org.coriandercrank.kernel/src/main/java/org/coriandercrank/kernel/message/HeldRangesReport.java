package org.coriandercrank.kernel.message;

import java.util.List;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * The ranges that a member holds; answer to a {@link HeldRangesQuery}. Immutable.
 *
 * @param era the era that the member knows; it acquires no range before a table of this era
 * @param complete whether the member and its server hold nothing else, and nothing is being acquired or released
 */
public record HeldRangesReport(MemberId member, ServiceName service, Era era, boolean complete, List<Held> ranges)
        implements Message {
    /** A range that is served under a fencing token. Immutable. */
    public record Held(KeyRange range, Generation fence) {}

    public HeldRangesReport {
        ranges = List.copyOf(ranges);
    }
}
