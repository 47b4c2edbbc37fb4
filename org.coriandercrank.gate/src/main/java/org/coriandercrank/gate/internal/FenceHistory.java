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
    private static final int MAX_MARKS = 4_096;

    private record Mark(KeyRange range, Generation fence, boolean released) {
        boolean allows(Generation other) {
            return released ? other.isNewerThan(fence) : other.compareTo(fence) >= 0;
        }

        boolean isImpliedBy(Mark other) {
            return other.range.contains(range)
                    && (other.fence.isNewerThan(fence) || (other.fence.equals(fence) && (other.released || !released)));
        }
    }

    private final List<Mark> marks = new ArrayList<>();

    /** Whether a range may be acquired under a fence. */
    public boolean allows(KeyRange range, Generation fence) {
        return marks.stream().filter(m -> m.range().overlaps(range)).allMatch(m -> m.allows(fence));
    }

    public void onAcquire(KeyRange range, Generation fence) {
        add(new Mark(range, fence, false));
    }

    public void onRelease(KeyRange range) {
        for (Mark mark : List.copyOf(marks)) {
            if (mark.range().overlaps(range)) {
                add(new Mark(RangeTable.intersection(mark.range(), range), mark.fence(), true));
            }
        }
    }

    private void add(Mark mark) {
        if (marks.stream().anyMatch(mark::isImpliedBy)) {
            return;
        }
        marks.removeIf(m -> m.isImpliedBy(mark));
        marks.add(mark);
        if (marks.size() > MAX_MARKS) {
            marks.remove(0);
        }
    }
}
