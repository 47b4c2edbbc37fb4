package org.coriandercrank.kernel.config;

import java.util.List;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * Rule that sends the requests of a host name and path prefix to services. Immutable.
 *
 * @param host value of the request's host field, without port
 * @param pathPrefix begins and ends with a slash
 * @param targets services that share the requests in proportion to their weights
 * @param repeatable whether a request may run more than once
 * @param maxServers most backend servers to which one request may be sent
 * @param timeoutMs longest time that a request is kept waiting, whatever its own deadline
 * @param latencyObjectiveMs time within which an answer has its full worth
 * @param priority rank of the requests; 0 is the highest
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
        int priority) {
    /** A service and its share of the requests. Immutable. */
    public record Target(ServiceName service, int weight) {
        public Target {
            if (weight < 0) {
                throw new IllegalArgumentException("weight must not be negative: " + weight);
            }
        }
    }

    public Route {
        targets = List.copyOf(targets);
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException("pathPrefix must begin and end with a slash: " + pathPrefix);
        }
        if (targets.stream().mapToInt(Target::weight).sum() <= 0) {
            throw new IllegalArgumentException("targets need a positive weight");
        }
        if (maxServers < 1 || timeoutMs < 1) {
            throw new IllegalArgumentException("maxServers and timeoutMs must be positive");
        }
    }

    /** What a request on this route may do and how much it matters. */
    public RequestRules rules() {
        return new RequestRules(repeatable, maxServers, priority, latencyObjectiveMs);
    }
}
