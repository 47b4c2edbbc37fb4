package org.coriandercrank.ingress.internal.balancing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.coriandercrank.ingress.OutlierDetectionOptions;
import org.coriandercrank.kernel.id.MemberId;

/**
 * Excludes servers by the results of real requests. A pure state machine with time as argument; not thread safe.
 *
 * <p>A server is excluded when its smoothed success rate falls below the lower mark, and readmitted when results of
 * probes raise it above the higher one. A probe is a real request that {@link #tryProbe} lets through. The number of
 * excluded servers never exceeds the allowed share of the known ones, rounded down; when fewer servers are known, the
 * surplus ones are readmitted.
 */
public final class HealthTracker {
    private final OutlierDetectionOptions rules;
    private final Map<MemberId, Health> servers = new HashMap<>();
    private int excluded;
    private long exclusions;

    /** Observations of one server. */
    private static final class Health {
        private double successRate = 1;
        private long samples;
        private boolean excluded;
        private long nextProbeNanos;
    }

    public HealthTracker(OutlierDetectionOptions rules) {
        this.rules = rules;
    }

    /** Takes over the servers of a service; observations of servers that stay are kept. */
    public void retain(Set<MemberId> members) {
        servers.keySet().retainAll(members);
        members.forEach(member -> servers.computeIfAbsent(member, m -> new Health()));
        excluded = (int) servers.values().stream().filter(h -> h.excluded).count();
        for (Health health : servers.values()) {
            if (excluded > maxExcluded() && health.excluded) {
                readmit(health);
            }
        }
    }

    /** Records a result; one of a server that is not known is ignored. */
    public void record(MemberId member, boolean success, long nowNanos) {
        Health health = servers.get(member);
        if (health == null) {
            return;
        }
        health.samples++;
        health.successRate += rules.smoothingFactor() * ((success ? 1 : 0) - health.successRate);
        if (health.excluded) {
            if (health.successRate > rules.readmitAbove()) {
                readmit(health);
            }
        } else if (health.samples >= rules.minSamples()
                && health.successRate < rules.excludeBelow()
                && excluded < maxExcluded()) {
            health.excluded = true;
            health.nextProbeNanos = nowNanos + probeIntervalNanos();
            excluded++;
            exclusions++;
        }
    }

    public boolean isExcluded(MemberId member) {
        Health health = servers.get(member);
        return health != null && health.excluded;
    }

    /** Takes the right to send one probe to an excluded server, if the interval since the last one has passed. */
    public boolean tryProbe(MemberId member, long nowNanos) {
        Health health = servers.get(member);
        if (health == null || !health.excluded || nowNanos - health.nextProbeNanos < 0) {
            return false;
        }
        health.nextProbeNanos = nowNanos + probeIntervalNanos();
        return true;
    }

    public int excludedCount() {
        return excluded;
    }

    /** Exclusions since the start. */
    public long exclusions() {
        return exclusions;
    }

    private void readmit(Health health) {
        health.excluded = false;
        health.samples = 0;
        excluded--;
    }

    private int maxExcluded() {
        return (int) (servers.size() * rules.maxExcludedShare());
    }

    private long probeIntervalNanos() {
        return rules.probeIntervalMs() * 1_000_000;
    }
}
