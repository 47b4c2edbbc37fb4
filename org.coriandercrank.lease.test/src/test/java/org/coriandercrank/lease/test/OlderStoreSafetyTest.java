package org.coriandercrank.lease.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against two owners of a key after the store returned from an older copy, which may lack a seal. */
class OlderStoreSafetyTest {
    private static final int RUNS = 1_500;

    @ParameterizedTest
    @Tag("known-red")
    @CsvSource({"2", "4"})
    void noLeaseAfterSealAlthoughTheStoreLosesWrites(int witnesses) {
        List<Integer> violatingSeeds = new ArrayList<>();
        for (int seed = 1; seed <= RUNS; seed++) {
            if (new LeaseSimulation(seed, witnesses, false)
                    .withStoreReturns()
                    .run()
                    .isPresent()) {
                violatingSeeds.add(seed);
            }
        }
        assertThat(violatingSeeds).isEmpty();
    }
}
