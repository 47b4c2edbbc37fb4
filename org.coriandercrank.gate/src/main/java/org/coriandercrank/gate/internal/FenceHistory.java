package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * Remembers for each part of the hash space the newest fencing token under which it was acquired, and whether it was
 * released since.
 *
 * <p>Prevents a delayed acquire from taking effect: a token is not accepted after a newer token or after its own
 * release. The history is bounded; when it is full, the oldest record is discarded. Not thread safe.
 */
public final class FenceHistory {
    private static final int MAX_RECORDS = 4_096;

    private record FenceRecord(KeyRange range, Generation fence, boolean released) {
        boolean allows(Generation other) {
            return released ? other.isNewerThan(fence) : other.compareTo(fence) >= 0;
        }

        boolean isSupersededBy(FenceRecord other) {
            return other.range.contains(range)
                    && (other.fence.isNewerThan(fence) || (other.fence.equals(fence) && (other.released || !released)));
        }
    }

    private final List<FenceRecord> records = new ArrayList<>();

    /** Whether a range may be acquired: no part was acquired under a newer token or released under this one. */
    public boolean allows(KeyRange range, Generation fence) {
        return records.stream().filter(r -> r.range().overlaps(range)).allMatch(r -> r.allows(fence));
    }

    /** Records that a range was acquired under a fencing token. */
    public void onAcquire(KeyRange range, Generation fence) {
        add(new FenceRecord(range, fence, false));
    }

    /** Records that a range was released under the fencing token of each of its parts. */
    public void onRelease(KeyRange range) {
        for (FenceRecord fenceRecord : List.copyOf(records)) {
            if (fenceRecord.range().overlaps(range)) {
                add(new FenceRecord(RangeTable.intersection(fenceRecord.range(), range), fenceRecord.fence(), true));
            }
        }
    }

    private void add(FenceRecord fenceRecord) {
        if (records.stream().anyMatch(fenceRecord::isSupersededBy)) {
            return;
        }
        records.removeIf(r -> r.isSupersededBy(fenceRecord));
        records.add(fenceRecord);
        if (records.size() > MAX_RECORDS) {
            records.remove(0);
        }
    }
}
