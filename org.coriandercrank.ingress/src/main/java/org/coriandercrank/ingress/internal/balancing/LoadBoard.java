package org.coriandercrank.ingress.internal.balancing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.GateLoad;

/**
 * What the gates of servers told of their load, and what it means for the next request. Not thread safe; time is an
 * argument.
 *
 * <p>A report counts requests of all daemons. Those of other daemons are taken as unchanged until the next report, and
 * fade within some seconds, so that a server that once was busy is tried again.
 */
final class LoadBoard {
    private static final double FADE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A report and what this daemon had in flight at that time. Immutable. */
    private record Report(GateLoad load, int ownInFlight, long atNanos) {}

    private final Map<MemberId, Report> reports = new HashMap<>();

    void learn(MemberId member, GateLoad load, int ownInFlight, long nowNanos) {
        if (load.concurrency() > 0) {
            reports.put(member, new Report(load, ownInFlight, nowNanos));
        }
    }

    void retain(Set<MemberId> members) {
        reports.keySet().retainAll(members);
    }

    /** Expected time from the arrival at a server to its answer, in milliseconds; 0 if nothing is known. */
    double expectedMs(MemberId member, int ownInFlight, long nowNanos) {
        Report report = reports.get(member);
        if (report == null) {
            return 0;
        }
        double fresh = Math.max(0, 1 - (nowNanos - report.atNanos()) / FADE_NANOS);
        double others = Math.max(0, report.load().pending() - report.ownInFlight()) * fresh;
        double ahead = others + ownInFlight + 1;
        double rounds = Math.max(1, ahead / report.load().concurrency());
        return report.load().serviceMs() * rounds;
    }
}
