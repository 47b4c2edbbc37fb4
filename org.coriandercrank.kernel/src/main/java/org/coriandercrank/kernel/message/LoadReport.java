package org.coriandercrank.kernel.message;

import java.util.List;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.placement.RangeLoad;

/** Load of the ranges that a member owns; answer to a {@link LoadQuery}. Immutable. */
public record LoadReport(MemberId member, ServiceName service, Generation tableGeneration, List<RangeLoad> ranges)
        implements Message {
    public LoadReport {
        ranges = List.copyOf(ranges);
    }
}
