package org.coriandercrank.scheduling.region;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.Route;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.GateLoad;

/**
 * Keeps capacity of the regions to which some requests of a service are bound, by placing other requests outside. Not
 * thread safe; the current time is passed as an argument.
 *
 * <p>Load pattern: the requests bound to one of two regions rise 2.6 times for 6 s, while other requests to the same
 * servers may go anywhere.
 *
 * <p>A share of the unbound requests, not all of them, is given a penalty for the servers of a bound region. The share
 * rises with the smoothed utilization of the region. A penalty that rises for all requests would move them all as soon as
 * it exceeds the price of the other region, and all back later. The share is 0 if no other region is less utilized.
 */
public final class ReservedCapacity {
    /** Exceeds the price that the balancing policies set on another region by more than a typical queue there. */
    public static final double PENALTY_MS = 400;

    /** Keeps requests in their own region while only some of its servers have a queue. */
    private static final double HOME_PENALTY_MS = 100;

    /** Utilization at which requests begin to be placed outside. */
    private static final double START_UTILIZATION = 0.9;

    /** Utilization at which all unbound requests are placed outside. */
    private static final double FULL_UTILIZATION = 1.0;

    /** Difference of utilization to the other region at which the share is no longer limited by it. */
    private static final double FULL_DIFFERENCE = 0.2;

    /** Requests per slot above which a server counts no further requests. */
    private static final double MAX_SERVER_UTILIZATION = 1.5;

    /** A shorter time let the share of the outside requests swing after the burst of the replay. */
    private static final double SMOOTHING_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final long UPDATE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Age at which a report no longer counts. */
    private static final double REPORT_DECAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Set<Region> boundRegions;
    private final Map<Region, Double> utilization = new HashMap<>();
    private final Map<Region, Double> serviceMs = new HashMap<>();
    private final Map<Region, Double> shares = new HashMap<>();

    /** Sum of the shares of earlier requests that were not yet given a penalty, below 1. */
    private final Map<Region, Double> remainders = new HashMap<>();

    private double largestShare;
    private boolean updated;
    private long updatedAtNanos;

    /**
     * The latest known load of a server. Immutable.
     *
     * @param load {@link GateLoad#NONE} if unknown
     */
    public record ServerLoad(Region region, GateLoad load, long ageNanos) {}

    /**
     * Penalties for one request. Immutable.
     *
     * @param placedOutside whether the request is to be placed outside a bound region
     */
    public record Penalties(boolean placedOutside, Map<Region, Double> byRegionMs) {
        /** No penalties, for bound requests and for services without bound routes. */
        public static final Penalties NONE = new Penalties(false, Map.of());

        public Penalties {
            byRegionMs = Map.copyOf(byRegionMs);
        }
    }

    public ReservedCapacity(Set<Region> boundRegions) {
        this.boundRegions = Set.copyOf(boundRegions);
    }

    /** Regions to which the requests of some route to a service are bound. */
    public static Set<Region> boundRegions(Configuration configuration, ServiceName service) {
        return configuration.routes().stream()
                .filter(route -> route.targets().stream()
                        .anyMatch(target ->
                                target.weight() > 0 && target.service().equals(service)))
                .map(Route::allowedRegions)
                .flatMap(Set::stream)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Regions whose capacity is kept. */
    public Set<Region> boundRegions() {
        return boundRegions;
    }

    /** Whether the shares are old enough to be computed again. */
    public boolean isUpdateDue(long nowNanos) {
        return !boundRegions.isEmpty() && (!updated || nowNanos - updatedAtNanos >= UPDATE_INTERVAL_NANOS);
    }

    /**
     * Computes the shares from the load of all servers that may receive requests.
     *
     * @param servers also those without a known load, so that their regions are known
     */
    public void update(List<ServerLoad> servers, long nowNanos) {
        double weight = updated ? 1 - Math.exp(-(nowNanos - updatedAtNanos) / SMOOTHING_NANOS) : 1;
        updated = true;
        updatedAtNanos = nowNanos;
        smooth(utilization, average(servers, ReservedCapacity::countedRequests), weight);
        smooth(serviceMs, average(servers, s -> s.load().serviceMs() * s.load().concurrency()), weight);
        shares.clear();
        for (Region region : boundRegions) {
            shares.put(region, share(region));
        }
        largestShare =
                shares.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }

    /**
     * The requests of a server that count for the utilization of its region. A queue at one server while others are idle
     * is no lack of capacity, so the requests of each are limited. Old reports count less, not the server: reports of idle
     * servers are the oldest, and without them the region would seem as busy as its busiest servers.
     */
    private static double countedRequests(ServerLoad server) {
        double freshness = Math.min(1, Math.max(0, 1 - server.ageNanos() / REPORT_DECAY_NANOS));
        return freshness
                * Math.min(
                        server.load().pending(),
                        MAX_SERVER_UTILIZATION * server.load().concurrency());
    }

    private static void smooth(Map<Region, Double> smoothed, Map<Region, Double> current, double weight) {
        smoothed.keySet().retainAll(current.keySet());
        current.forEach(
                (region, value) -> smoothed.merge(region, value, (old, latest) -> old + weight * (latest - old)));
    }

    /**
     * Average of a figure per slot of each region. A region of which nothing is known has 0, as if it were idle, so that
     * it is tried.
     */
    private static Map<Region, Double> average(List<ServerLoad> servers, ToDoubleFunction<ServerLoad> figure) {
        Map<Region, Double> sum = new HashMap<>();
        Map<Region, Double> concurrency = new HashMap<>();
        for (ServerLoad server : servers) {
            sum.merge(server.region(), figure.applyAsDouble(server), Double::sum);
            concurrency.merge(server.region(), (double) server.load().concurrency(), Double::sum);
        }
        Map<Region, Double> result = new HashMap<>();
        concurrency.forEach((region, slots) -> result.put(region, slots > 0 ? sum.get(region) / slots : 0));
        return result;
    }

    private double share(Region region) {
        double own = utilization.getOrDefault(region, 0.0);
        double lowestOther = utilization.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(region))
                .mapToDouble(Map.Entry::getValue)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
        double byUtilization = (own - START_UTILIZATION) / (FULL_UTILIZATION - START_UTILIZATION);
        double byDifference = (own - lowestOther) / FULL_DIFFERENCE;
        return Math.min(1, Math.max(0, Math.min(byUtilization, byDifference)));
    }

    /** Smoothed requests per slot by region; above 1 if requests are queued, 0 if unknown. */
    public Map<Region, Double> utilization() {
        return Map.copyOf(utilization);
    }

    /** Largest share of the unbound requests that is placed outside a bound region, from 0 to 1. */
    public double largestShare() {
        return largestShare;
    }

    /**
     * Returns the penalties in milliseconds for the next unbound request by region; regions without one are absent.
     *
     * <p>A gate reports one service time for all its requests, and bound requests may take several times longer than
     * others. Unbound requests would leave a bound region for good once they left it, because its servers seem slow. A
     * request that is not to be placed outside therefore has a penalty of that difference, and a constant, for the other
     * regions. This applies only to daemons in a bound region; the requests of all others stay where they are.
     *
     * @param ownRegion region of this daemon
     */
    public Penalties takePenalties(Region ownRegion) {
        Map<Region, Double> result = new HashMap<>();
        boolean placedOutside = false;
        for (Region region : boundRegions) {
            double sum = remainders.getOrDefault(region, 0.0) + shares.getOrDefault(region, 0.0);
            boolean penalized = sum >= 1;
            remainders.put(region, penalized ? sum - 1 : sum);
            placedOutside |= penalized;
            if (penalized) {
                result.put(region, PENALTY_MS);
            }
        }
        if (!placedOutside && boundRegions.contains(ownRegion)) {
            double boundServiceMs = boundRegions.stream()
                    .mapToDouble(region -> serviceMs.getOrDefault(region, 0.0))
                    .max()
                    .orElse(0);
            serviceMs.forEach((region, ownMs) -> {
                if (!boundRegions.contains(region) && boundServiceMs > ownMs && ownMs > 0) {
                    result.put(region, HOME_PENALTY_MS + boundServiceMs - ownMs);
                }
            });
        }
        return new Penalties(placedOutside, result);
    }
}
