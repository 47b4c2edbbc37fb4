package org.coriandercrank.ingress;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.Route;
import org.coriandercrank.kernel.config.RouteIndex;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * Finds the route of a request and the service that takes it. Thread safe.
 *
 * <p>The services of a route take turns in proportion to their weights, so that the shares also hold over few requests.
 */
public final class RouteSelector {
    /** A route and the service that takes the request. Immutable. */
    public record Selection(Route route, ServiceName service) {}

    private Configuration configuration = Configuration.EMPTY;
    private RouteIndex index = new RouteIndex(configuration.routes());

    /** Credit of each target by route name; the target with most credit is next. */
    private final Map<String, int[]> credits = new HashMap<>();

    /** The route for a host name and path, or empty if the configuration has none. */
    public synchronized Optional<Selection> select(Configuration current, String host, String path) {
        use(current);
        return index.find(host, path).map(route -> new Selection(route, next(route)));
    }

    /** Compares configurations by identity, because a comparison by content costs more than a new index. */
    @SuppressWarnings("ReferenceEquality")
    private void use(Configuration current) {
        if (current != configuration) {
            configuration = current;
            index = new RouteIndex(current.routes());
            credits.clear();
        }
    }

    private ServiceName next(Route route) {
        if (route.targets().size() == 1) {
            return route.targets().get(0).service();
        }
        int[] credit = credits.computeIfAbsent(
                route.name(), name -> new int[route.targets().size()]);
        int total = 0;
        int best = 0;
        for (int i = 0; i < credit.length; i++) {
            int weight = route.targets().get(i).weight();
            credit[i] += weight;
            total += weight;
            best = credit[i] > credit[best] ? i : best;
        }
        credit[best] -= total;
        return route.targets().get(best).service();
    }
}
