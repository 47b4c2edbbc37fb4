package org.coriandercrank.lease.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against two owners of a key after witnesses were restarted under their member ids: their new processes do not
 * know what the earlier ones acknowledged and refused.
 */
class RestartedWitnessSafetyTest {
    private static final int FIRST_SEED = 1;
    private static final int RUNS = Integer.getInteger("lease.restart.runs", 1_500);

    /** Without seals the property would hold trivially. */
    private static final int MIN_SEALS = RUNS / 20;

    @ParameterizedTest
    @CsvSource({"2", "4"})
    void noLeaseAfterSealDespiteRestarts(int witnesses) {
        List<String> violations = new ArrayList<>();
        int seals = 0;
        double servedSum = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            LeaseSimulation simulation = new LeaseSimulation(seed, witnesses, true);
            Optional<String> violation = simulation.run();
            int violatingSeed = seed;
            violation.ifPresent(text -> violations.add("seed " + violatingSeed + ": " + text));
            seals += simulation.sealed() ? 1 : 0;
            servedSum += simulation.servedShare();
        }
        System.out.printf(
                "witnesses=%d runs=%d violations=%d seals=%d served=%.3f%n",
                witnesses, RUNS, violations.size(), seals, servedSum / RUNS);
        assertThat(violations).isEmpty();
        assertThat(seals).isGreaterThan(MIN_SEALS);
    }
}
