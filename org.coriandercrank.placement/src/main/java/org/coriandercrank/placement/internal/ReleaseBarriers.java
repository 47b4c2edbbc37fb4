package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * Ranges that a newer owner has requested: no hash of such a range may be acquired before a table with at least the
 * generation of the request is applied. Bounded; not thread safe.
 */
final class ReleaseBarriers {
    private record Barrier(KeyRange range, Generation generation) {}

    private static final int MAX_BARRIERS = 1_024;

    private List<Barrier> barriers = new ArrayList<>();

    /**
     * Adds a barrier, in place of those that it covers. If there are more than {@link #MAX_BARRIERS}, one barrier on
     * the whole hash space replaces them until a newer table is applied.
     *
     * @return whether the barrier was not covered by an existing one
     */
    boolean add(KeyRange range, Generation generation) {
        boolean covered =
                barriers.stream().anyMatch(b -> b.range.contains(range) && b.generation.compareTo(generation) >= 0);
        if (covered) {
            return false;
        }
        barriers.removeIf(b -> range.contains(b.range) && generation.compareTo(b.generation) >= 0);
        barriers.add(new Barrier(range, generation));
        if (barriers.size() > MAX_BARRIERS) {
            Generation newest = barriers.stream()
                    .map(Barrier::generation)
                    .max(Generation::compareTo)
                    .orElseThrow();
            barriers = new ArrayList<>(List.of(new Barrier(KeyRange.ALL, newest)));
        }
        return true;
    }

    /** Removes the barriers that a table of the given generation ends. */
    void tableApplied(Generation generation) {
        barriers.removeIf(b -> !b.generation.isNewerThan(generation));
    }

    /** Returns the barred ranges that overlap a range. */
    List<KeyRange> overlapping(KeyRange range) {
        List<KeyRange> overlapping = new ArrayList<>();
        for (Barrier barrier : barriers) {
            if (barrier.range.overlaps(range)) {
                overlapping.add(barrier.range);
            }
        }
        return overlapping;
    }

    /** Returns the newest generation of the barriers that overlap a range, or the given one if that is newer. */
    Generation newestGeneration(KeyRange range, Generation applied) {
        return barriers.stream()
                .filter(b -> b.range.overlaps(range))
                .map(Barrier::generation)
                .filter(g -> g.isNewerThan(applied))
                .max(Generation::compareTo)
                .orElse(applied);
    }
}
