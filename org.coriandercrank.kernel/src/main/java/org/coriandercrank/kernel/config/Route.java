package org.coriandercrank.kernel.config;

import java.util.List;
import java.util.Set;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * Rule that sends requests for a host name and path prefix to services. Immutable.
 *
 * @param host value of the request header {@code Host}, without port
 * @param pathPrefix starts and ends with a slash
 * @param targets services that receive the requests, in proportion to their weights
 * @param repeatable whether a request may be executed more than once
 * @param maxServers maximum number of backend servers to which one request may be sent
 * @param timeoutMs upper limit in milliseconds on the time until a request is answered, also if its deadline is later
 * @param latencyObjectiveMs target response time in milliseconds; a later answer is worth less
 * @param priority priority of the requests; 0 is the highest
 * @param allowedRegions regions whose servers may execute the requests; empty, the value in a stored configuration without
 *     this field, means all regions
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        List<Target> targets,
        boolean repeatable,
        int maxServers,
        long timeoutMs,
        long latencyObjectiveMs,
        int priority,
        Set<Region> allowedRegions) {
    /** A service and its share of the requests, relative to the sum of all weights. Immutable. */
    public record Target(ServiceName service, int weight) {
        public Target {
            if (weight < 0) {
                throw new IllegalArgumentException("weight must not be negative: " + weight);
            }
        }
    }

    public Route {
        targets = List.copyOf(targets);
        allowedRegions = allowedRegions == null ? Set.of() : Set.copyOf(allowedRegions);
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException("pathPrefix must start and end with a slash: " + pathPrefix);
        }
        if (targets.stream().mapToInt(Target::weight).sum() <= 0) {
            throw new IllegalArgumentException("targets need a positive weight");
        }
        if (maxServers < 1 || timeoutMs < 1) {
            throw new IllegalArgumentException("maxServers and timeoutMs must be positive");
        }
    }

    /** A route whose requests may be executed in all regions. */
    public Route(
            String name,
            String host,
            String pathPrefix,
            List<Target> targets,
            boolean repeatable,
            int maxServers,
            long timeoutMs,
            long latencyObjectiveMs,
            int priority) {
        this(
                name,
                host,
                pathPrefix,
                targets,
                repeatable,
                maxServers,
                timeoutMs,
                latencyObjectiveMs,
                priority,
                Set.of());
    }

    /** The rules for requests on this route. */
    public RequestRules rules() {
        return new RequestRules(repeatable, maxServers, priority, latencyObjectiveMs, allowedRegions);
    }
}
