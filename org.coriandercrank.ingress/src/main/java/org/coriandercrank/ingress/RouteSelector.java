package org.coriandercrank.ingress;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.Route;
import org.coriandercrank.kernel.config.RouteIndex;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * Finds the route of a request and selects one of the services of the route. Thread safe.
 *
 * <p>Services are selected by smooth weighted round robin, so that the shares match the weights even over few requests.
 */
public final class RouteSelector {
    /** A route and the service that was selected for the request. Immutable. */
    public record Selection(Route route, ServiceName service) {}

    private Configuration configuration = Configuration.EMPTY;
    private RouteIndex index = new RouteIndex(configuration.routes());

    /** Current weight of each target, by route name. The target with the largest current weight is selected next. */
    private final Map<String, int[]> currentWeights = new HashMap<>();

    /**
     * Selects the route and the service of a request.
     *
     * @param host host name from the request
     * @return empty if the configuration has no route for the host name and path
     */
    public synchronized Optional<Selection> select(Configuration newConfiguration, String host, String path) {
        updateIndex(newConfiguration);
        return index.find(host, path).map(route -> new Selection(route, nextTarget(route)));
    }

    /** Compares configurations by identity, because comparing their content costs more than building a new index. */
    @SuppressWarnings("ReferenceEquality")
    private void updateIndex(Configuration newConfiguration) {
        if (newConfiguration != configuration) {
            configuration = newConfiguration;
            index = new RouteIndex(newConfiguration.routes());
            currentWeights.clear();
        }
    }

    private ServiceName nextTarget(Route route) {
        if (route.targets().size() == 1) {
            return route.targets().get(0).service();
        }
        int[] weights = currentWeights.computeIfAbsent(
                route.name(), name -> new int[route.targets().size()]);
        int total = 0;
        int best = 0;
        for (int i = 0; i < weights.length; i++) {
            int weight = route.targets().get(i).weight();
            weights[i] += weight;
            total += weight;
            best = weights[i] > weights[best] ? i : best;
        }
        weights[best] -= total;
        return route.targets().get(best).service();
    }
}
