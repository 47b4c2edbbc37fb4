package org.coriandercrank.daemon.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against two owners of a key and against fences that do not rise, in random schedules of faults with seeds from
 * 1 on. {@code -Downership.runs=10000} runs more of them; {@link OwnershipTrial} prints timelines.
 */
class OwnershipSimulationTest {
    private static final int RUNS = Integer.getInteger("ownership.runs", 12);
    private static final long FIRST_SEED = Long.getLong("ownership.firstSeed", 1);
    private static final int THREADS = Integer.getInteger("ownership.threads", 2);

    @BeforeAll
    static void silenceProduct() {
        Trace.silenceProduct();
    }

    /** Without lost writes no fault of hosts, network or store breaks a rule. */
    @Test
    void faultsBreakNoRule() throws Exception {
        assertThat(OwnershipTrial.seedsByRule(FaultMix.NO_DRILLS, FIRST_SEED, RUNS, THREADS))
                .isEmpty();
    }

    /** The store returns from a copy that lacks tables, seals, records and configurations which daemons have acted on. */
    @ParameterizedTest
    @EnumSource(names = "NO_DRILLS", mode = EnumSource.Mode.EXCLUDE)
    void storeThatLosesWritesBreaksNoRule(FaultMix mix) throws Exception {
        assertThat(OwnershipTrial.seedsByRule(mix, FIRST_SEED, RUNS, THREADS)).isEmpty();
    }
}
