package org.coriandercrank.ingress.internal.balancing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.coriandercrank.ingress.OutlierDetectionOptions;
import org.coriandercrank.kernel.id.MemberId;

/**
 * Excludes failing servers of one service, based on the results of real requests. Not thread safe; the current time is
 * passed as an argument.
 *
 * <p>A server is excluded when its smoothed success rate falls below the lower threshold, and readmitted when the
 * results of probes raise the rate above the upper threshold. A probe is a real request that {@link #tryProbe} allows.
 * The number of excluded servers never exceeds the configured share of all servers of the service, rounded down. If
 * servers leave the service, excluded ones are readmitted until that holds again.
 */
public final class OutlierDetector {
    private static final long NANOS_PER_MS = 1_000_000;

    private final OutlierDetectionOptions options;
    private final Map<MemberId, ServerHealth> servers = new HashMap<>();
    private int excludedCount;
    private long exclusionCount;

    /** Results and state of one server. */
    private static final class ServerHealth {
        private double successRate = 1;
        private long samples;
        private boolean excluded;
        private long nextProbeNanos;
    }

    public OutlierDetector(OutlierDetectionOptions options) {
        this.options = options;
    }

    /** Replaces the set of servers of the service. Servers that remain keep their results and state. */
    public void setServers(Set<MemberId> members) {
        servers.keySet().retainAll(members);
        members.forEach(member -> servers.computeIfAbsent(member, m -> new ServerHealth()));
        excludedCount = (int) servers.values().stream().filter(h -> h.excluded).count();
        for (ServerHealth health : servers.values()) {
            if (excludedCount > maxExcluded() && health.excluded) {
                readmit(health);
            }
        }
    }

    /** Records the result of a request. Results of servers that are not in the set are ignored. */
    public void recordResult(MemberId member, boolean success, long nowNanos) {
        ServerHealth health = servers.get(member);
        if (health == null) {
            return;
        }
        health.samples++;
        health.successRate += options.smoothingFactor() * ((success ? 1 : 0) - health.successRate);
        if (health.excluded) {
            if (health.successRate > options.readmitAboveSuccessRate()) {
                readmit(health);
            }
        } else if (health.samples >= options.minSamples()
                && health.successRate < options.excludeBelowSuccessRate()
                && excludedCount < maxExcluded()) {
            health.excluded = true;
            health.nextProbeNanos = nowNanos + probeIntervalNanos();
            excludedCount++;
            exclusionCount++;
        }
    }

    public boolean isExcluded(MemberId member) {
        ServerHealth health = servers.get(member);
        return health != null && health.excluded;
    }

    /** Allows one probe of an excluded server if the probe interval since its exclusion or previous probe has passed. */
    public boolean tryProbe(MemberId member, long nowNanos) {
        ServerHealth health = servers.get(member);
        if (health == null || !health.excluded || nowNanos - health.nextProbeNanos < 0) {
            return false;
        }
        health.nextProbeNanos = nowNanos + probeIntervalNanos();
        return true;
    }

    public int excludedCount() {
        return excludedCount;
    }

    /** Number of exclusions since this detector was created. */
    public long exclusionCount() {
        return exclusionCount;
    }

    private void readmit(ServerHealth health) {
        health.excluded = false;
        health.samples = 0;
        excludedCount--;
    }

    private int maxExcluded() {
        return (int) (servers.size() * options.maxExcludedShare());
    }

    private long probeIntervalNanos() {
        return options.probeIntervalMs() * NANOS_PER_MS;
    }
}
