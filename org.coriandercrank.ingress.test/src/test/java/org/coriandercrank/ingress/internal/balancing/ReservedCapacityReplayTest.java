package org.coriandercrank.ingress.internal.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.coriandercrank.ingress.internal.balancing.ReservedCapacityReplay.Phase;
import org.coriandercrank.ingress.internal.balancing.ReservedCapacityReplay.Tally;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that may go anywhere and occupy the only servers that may execute bound requests. */
class ReservedCapacityReplayTest {
    /** "Nearly none" of the unbound requests are in the other region while nothing is short. */
    private static final double MAX_SHARE_ELSEWHERE = 0.05;

    /** Changes of the share from one second to another that count as a change of direction when they are reversed. */
    private static final double DIRECTION_THRESHOLD = 0.15;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void unboundRequestsLeaveTheBoundRegionDuringABurstAndReturn(long seed) {
        ReservedCapacityReplay without = new ReservedCapacityReplay(false, seed).run();
        ReservedCapacityReplay with = new ReservedCapacityReplay(true, seed).run();
        print("without", without);
        print("with", with);

        Tally bound = with.bound(Phase.BURST);
        Tally free = with.free(Phase.BURST);
        assertThat(bound.refusedShare()).isLessThan(without.bound(Phase.BURST).refusedShare());
        assertThat(bound.objectiveShare())
                .isGreaterThan(without.bound(Phase.BURST).objectiveShare());
        assertThat(free.refusedShare()).isLessThan(without.free(Phase.BURST).refusedShare());
        assertThat(free.objectiveShare())
                .isGreaterThan(without.free(Phase.BURST).objectiveShare());
        assertThat(with.free(Phase.BEFORE).elsewhereShare()).isLessThan(MAX_SHARE_ELSEWHERE);
        assertThat(with.free(Phase.AFTER).elsewhereShare()).isLessThan(MAX_SHARE_ELSEWHERE);
        assertThat(without.free(Phase.AFTER).elsewhereShare()).isGreaterThan(MAX_SHARE_ELSEWHERE);
        assertThat(with.directionChanges(DIRECTION_THRESHOLD)).isEqualTo(1);
    }

    private static void print(String name, ReservedCapacityReplay replay) {
        for (Phase phase : Phase.values()) {
            System.out.printf(
                    "%s %s: bound in objective %.3f refused %.3f, free in objective %.3f refused %.3f elsewhere %.3f%n",
                    name,
                    phase,
                    replay.bound(phase).objectiveShare(),
                    replay.bound(phase).refusedShare(),
                    replay.free(phase).objectiveShare(),
                    replay.free(phase).refusedShare(),
                    replay.free(phase).elsewhereShare());
        }
        StringBuilder line = new StringBuilder();
        Arrays.stream(replay.sharesElsewhere()).forEach(share -> line.append(String.format(" %.2f", share)));
        System.out.printf("%s changes %d, by second:%s%n", name, replay.directionChanges(DIRECTION_THRESHOLD), line);
    }
}
