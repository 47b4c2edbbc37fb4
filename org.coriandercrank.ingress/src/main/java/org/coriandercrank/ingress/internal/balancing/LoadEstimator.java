package org.coriandercrank.ingress.internal.balancing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.GateLoad;

/**
 * Estimates the time that the next request takes at a server, from the load reported by the gate of the server. Not
 * thread safe; the current time is passed as an argument.
 *
 * <p>A report counts the requests of all daemons. The number of requests of other daemons is assumed to stay constant
 * until the next report, but its weight decays to zero within a few seconds, so that a server that was busy once is
 * tried again.
 */
final class LoadEstimator {
    /** Age at which a report no longer counts requests of other daemons. */
    private static final double REPORT_DECAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A report and the number of requests that this daemon had in flight when it arrived. Immutable. */
    private record Report(GateLoad load, int ownInFlight, long atNanos) {}

    private final Map<MemberId, Report> reports = new HashMap<>();

    /** Records a report, except one that states no concurrency. */
    void recordReport(MemberId member, GateLoad load, int ownInFlight, long nowNanos) {
        if (load.concurrency() > 0) {
            reports.put(member, new Report(load, ownInFlight, nowNanos));
        }
    }

    /** Removes the reports of all other members. */
    void retainMembers(Set<MemberId> members) {
        reports.keySet().retainAll(members);
    }

    /** Expected time from the arrival of a request at a server to the answer, in milliseconds; 0 without a report. */
    double expectedMs(MemberId member, int ownInFlight, long nowNanos) {
        Report report = reports.get(member);
        if (report == null) {
            return 0;
        }
        double freshness = Math.max(0, 1 - (nowNanos - report.atNanos()) / REPORT_DECAY_NANOS);
        double othersPending = Math.max(0, report.load().pending() - report.ownInFlight()) * freshness;
        double queuePosition = othersPending + ownInFlight + 1;
        double serviceRounds = Math.max(1, queuePosition / report.load().concurrency());
        return report.load().serviceMs() * serviceRounds;
    }
}
