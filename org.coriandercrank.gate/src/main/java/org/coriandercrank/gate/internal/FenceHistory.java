package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * The newest fence under which each part of the hash space was acquired, and whether it was released since.
 *
 * <p>Guards against an acquire that comes late: a fence is never used again after a newer one or after its release.
 * Not thread safe.
 */
public final class FenceHistory {
    private static final int MAX_RECORDS = 4_096;

    private record FenceRecord(KeyRange range, Generation fence, boolean released) {
        boolean allows(Generation other) {
            return released ? other.isNewerThan(fence) : other.compareTo(fence) >= 0;
        }

        boolean isImpliedBy(FenceRecord other) {
            return other.range.contains(range)
                    && (other.fence.isNewerThan(fence) || (other.fence.equals(fence) && (other.released || !released)));
        }
    }

    private final List<FenceRecord> records = new ArrayList<>();

    /** Whether a range may be acquired under a fence. */
    public boolean allows(KeyRange range, Generation fence) {
        return records.stream().filter(r -> r.range().overlaps(range)).allMatch(r -> r.allows(fence));
    }

    public void onAcquire(KeyRange range, Generation fence) {
        add(new FenceRecord(range, fence, false));
    }

    public void onRelease(KeyRange range) {
        for (FenceRecord record : List.copyOf(records)) {
            if (record.range().overlaps(range)) {
                add(new FenceRecord(RangeTable.intersection(record.range(), range), record.fence(), true));
            }
        }
    }

    private void add(FenceRecord record) {
        if (records.stream().anyMatch(record::isImpliedBy)) {
            return;
        }
        records.removeIf(r -> r.isImpliedBy(record));
        records.add(record);
        if (records.size() > MAX_RECORDS) {
            records.remove(0);
        }
    }
}
