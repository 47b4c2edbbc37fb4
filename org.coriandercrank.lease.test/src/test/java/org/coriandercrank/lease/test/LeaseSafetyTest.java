package org.coriandercrank.lease.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

/**
 * Guards against two owners of a key, which result if a lease is still valid after the seal of its member took effect.
 */
class LeaseSafetyTest {
    private static final int TRIES = 1_500;

    /** More runs of each property than this must seal the member; without seals, the property would hold trivially. */
    private static final int MIN_SEALS = TRIES / 20;

    private int seals;

    @BeforeProperty
    void resetSeals() {
        seals = 0;
    }

    @Property(tries = TRIES, shrinking = ShrinkingMode.OFF)
    void noLeaseAfterSealWithoutWitnesses(@ForAll long seed) {
        check(seed, 0);
    }

    @Property(tries = TRIES, shrinking = ShrinkingMode.OFF)
    void noLeaseAfterSealWithTwoWitnesses(@ForAll long seed) {
        check(seed, 2);
    }

    @Property(tries = TRIES, shrinking = ShrinkingMode.OFF)
    void noLeaseAfterSealWithFourWitnesses(@ForAll long seed) {
        check(seed, 4);
    }

    @AfterProperty
    void checkThatSealsHappened() {
        System.out.println("seals=" + seals + " runs=" + TRIES);
        assertThat(seals).isGreaterThan(MIN_SEALS);
    }

    private void check(long seed, int witnesses) {
        LeaseSimulation simulation = new LeaseSimulation(seed, witnesses, false);
        Optional<String> violation = simulation.run();
        assertThat(violation).as("seed %d, %d witnesses", seed, witnesses).isEmpty();
        seals += simulation.sealed() ? 1 : 0;
    }
}
