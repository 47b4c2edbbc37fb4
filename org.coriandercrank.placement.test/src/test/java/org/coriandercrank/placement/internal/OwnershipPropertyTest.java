package org.coriandercrank.placement.internal;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Properties of range ownership under injected faults; jqwik prints the seed of each run. */
final class OwnershipPropertyTest {
    /**
     * Guards against a hash that is served twice at the same time, and against ranges that stay unserved after the
     * faults have ended.
     */
    @Property(tries = 400)
    void neverServedTwiceAndFullyServedAfterFaults(@ForAll long seed, @ForAll @IntRange(min = 2, max = 5) int size) {
        OwnershipModel model = new OwnershipModel(seed, size);
        for (int step = 0; step < 400; step++) {
            model.randomStep();
            assertThat(model.conflicts()).as("seed %d, step %d", seed, step).isEmpty();
        }
        model.runUntilIdle();
        assertThat(model.conflicts()).as("seed %d after the faults", seed).isEmpty();
        assertThat(model.unserved()).as("seed %d after the faults", seed).isEmpty();
    }
}
