package org.coriandercrank.kernel.config;

import java.util.Set;
import org.coriandercrank.kernel.id.Region;

/**
 * Rules that a route sets for its requests. Immutable.
 *
 * @param repeatable whether a request may be executed more than once
 * @param maxServers maximum number of backend servers to which one request may be sent
 * @param priority priority of a request; 0 is the highest
 * @param latencyObjectiveMs target response time in milliseconds; a later answer is worth less
 * @param allowedRegions regions whose servers may execute a request; empty means all regions
 */
public record RequestRules(
        boolean repeatable, int maxServers, int priority, long latencyObjectiveMs, Set<Region> allowedRegions) {
    public RequestRules {
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /** Rules of requests that may be executed in all regions. */
    public RequestRules(boolean repeatable, int maxServers, int priority, long latencyObjectiveMs) {
        this(repeatable, maxServers, priority, latencyObjectiveMs, Set.of());
    }

    /** Returns these rules with other allowed regions. */
    public RequestRules withAllowedRegions(Set<Region> newAllowedRegions) {
        return new RequestRules(repeatable, maxServers, priority, latencyObjectiveMs, newAllowedRegions);
    }

    /** Whether a server of a region may execute a request. */
    public boolean allows(Region region) {
        return allowedRegions.isEmpty() || allowedRegions.contains(region);
    }
}
