package org.coriandercrank.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.Route;
import org.coriandercrank.kernel.id.ServiceName;
import org.junit.jupiter.api.Test;

/**
 * Tests the shares of weighted services. They are checked over a few hundred requests to all daemons together, so that
 * each daemon must match the weights over few requests.
 */
class RouteSelectorTest {
    private static final ServiceName OLD = new ServiceName("old");
    private static final ServiceName NEW = new ServiceName("new");

    private final RouteSelector selector = new RouteSelector();

    private static Configuration configuration(int oldWeight, int newWeight) {
        Route route = new Route(
                "r",
                "a.example",
                "/x/",
                List.of(new Route.Target(OLD, oldWeight), new Route.Target(NEW, newWeight)),
                true,
                2,
                1_000,
                500,
                1);
        return new Configuration(List.of(), List.of(), List.of(), List.of(route));
    }

    private Map<ServiceName, Integer> countSelections(Configuration configuration, int requests) {
        Map<ServiceName, Integer> counts = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            counts.merge(
                    selector.select(configuration, "a.example", "/x/1")
                            .orElseThrow()
                            .service(),
                    1,
                    Integer::sum);
        }
        return counts;
    }

    @Test
    void sharesMatchTheWeightsOverFewRequests() {
        assertThat(countSelections(configuration(90, 10), 20))
                .containsEntry(OLD, 18)
                .containsEntry(NEW, 2);
    }

    @Test
    void newWeightsApplyImmediately() {
        countSelections(configuration(90, 10), 7);
        assertThat(countSelections(configuration(0, 5), 10)).containsOnly(Map.entry(NEW, 10));
    }
}
