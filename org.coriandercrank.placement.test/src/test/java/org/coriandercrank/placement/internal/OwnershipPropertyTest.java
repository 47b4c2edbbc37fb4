package org.coriandercrank.placement.internal;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Properties of range ownership under faults; jqwik prints the seed of each run. */
final class OwnershipPropertyTest {
    /** Guards against two owners of a hash at one time, and against ranges that stay unserved after the faults end. */
    @Property(tries = 400)
    void neverTwoOwnersAndServedAfterFaults(@ForAll long seed, @ForAll @IntRange(min = 2, max = 5) int size) {
        OwnershipModel model = new OwnershipModel(seed, size);
        for (int step = 0; step < 400; step++) {
            model.randomStep();
            assertThat(model.conflicts()).as("seed %d, step %d", seed, step).isEmpty();
        }
        model.settle();
        assertThat(model.conflicts()).as("seed %d after the faults", seed).isEmpty();
        assertThat(model.unserved()).as("seed %d after the faults", seed).isEmpty();
    }
}
