package org.coriandercrank.scheduling.region;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.Route;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.scheduling.region.ReservedCapacity.ServerLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReservedCapacityTest {
    private static final Region BOUND = new Region("east");
    private static final Region OTHER = new Region("west");
    private static final ServiceName SERVICE = new ServiceName("job-queue");
    private static final int SLOTS = 100;

    private static ReservedCapacity capacity(int boundPending, int otherPending, long ageMs) {
        ReservedCapacity capacity = new ReservedCapacity(Set.of(BOUND));
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(ageMs);
        capacity.update(
                List.of(
                        new ServerLoad(BOUND, new GateLoad(boundPending, SLOTS, 80), ageNanos),
                        new ServerLoad(OTHER, new GateLoad(otherPending, SLOTS, 80), ageNanos)),
                0);
        return capacity;
    }

    /** Guards against a shift while there is room, into a region that is as busy, or on reports that are out of date. */
    @ParameterizedTest
    @CsvSource({
        "0,0,0,0",
        "89,0,0,0",
        "95,0,0,50",
        "120,0,0,100",
        "120,120,0,0",
        "120,140,0,0",
        "120,110,0,50",
        "140,0,2000,0"
    })
    void shareRisesWithUtilization(int boundPending, int otherPending, long ageMs, int expectedPercent) {
        ReservedCapacity capacity = capacity(boundPending, otherPending, ageMs);
        int placedOutside = 0;
        for (int i = 0; i < 100; i++) {
            placedOutside += capacity.takePenalties(BOUND).placedOutside() ? 1 : 0;
        }
        assertThat(placedOutside).isBetween(expectedPercent - 1, expectedPercent);
    }

    /** Guards against a burst of reports that moves all requests at once. */
    @Test
    void shareFollowsWithDelay() {
        ReservedCapacity capacity = capacity(50, 0, 0);
        capacity.update(
                List.of(
                        new ServerLoad(BOUND, new GateLoad(150, SLOTS, 80), 0),
                        new ServerLoad(OTHER, new GateLoad(0, SLOTS, 80), 0)),
                TimeUnit.MILLISECONDS.toNanos(100));
        assertThat(capacity.largestShare()).isZero();
    }

    @Test
    void noOtherRegionMeansNoPenalty() {
        ReservedCapacity capacity = new ReservedCapacity(Set.of(BOUND));
        capacity.update(List.of(new ServerLoad(BOUND, new GateLoad(150, SLOTS, 80), 0)), 0);
        assertThat(capacity.takePenalties(BOUND).byRegionMs()).isEmpty();
    }

    @Test
    void boundRegionsAreThoseOfTheRoutesToTheService() {
        Configuration configuration = new Configuration(
                List.of(),
                List.of(),
                List.of(),
                List.of(route("a", SERVICE, Set.of(BOUND)), route("b", new ServiceName("other"), Set.of(OTHER))));
        assertThat(ReservedCapacity.boundRegions(configuration, SERVICE)).containsExactly(BOUND);
        assertThat(ReservedCapacity.boundRegions(Configuration.EMPTY, SERVICE)).isEmpty();
    }

    private static Route route(String name, ServiceName service, Set<Region> regions) {
        return new Route(
                name, "h", "/" + name + "/", List.of(new Route.Target(service, 1)), false, 1, 1_000, 500, 0, regions);
    }
}
