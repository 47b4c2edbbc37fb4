package org.coriandercrank.ingress.internal.balancing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.placement.ReportedLoad;

/**
 * Estimates the time that the next request takes at a server, from the load reported by the gate of the server. Not
 * thread safe; the current time is passed as an argument.
 *
 * <p>A report counts the requests of all daemons. The number of requests of other daemons is assumed to stay constant
 * until the next report, but its weight decays to zero within a few seconds, so that a server that was busy once is
 * tried again.
 *
 * <p>In a large fleet, a daemon sends to each server too rarely to have a recent report of it, and all daemons would
 * prefer the same fast servers until these overflow. A daemon therefore assumes that the other daemons of its region
 * decide as it does: each of its own requests to a server stands for one of each of them. The assumed work is kept as a
 * backlog that the server works off over time, and a small part of it counts as expected time. The fewer daemons there
 * are, the less it matters.
 */
final class LoadEstimator {
    /** Age at which a report no longer counts requests of other daemons. */
    private static final double REPORT_DECAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A report and the number of requests that this daemon had in flight when it arrived. Immutable. */
    private record Report(GateLoad load, int ownInFlight, long atNanos) {}

    /**
     * Part of the assumed backlog that counts as expected time. It outweighs the difference between fast and slow
     * servers, but not the price of the other region while a server of the own region has capacity left.
     */
    private static final double BACKLOG_WEIGHT = 0.1;

    private static final double MAX_BACKLOG_MS = 5_000;
    private static final double NANOS_PER_MS = 1e6;

    /** Work in milliseconds that a server is assumed to have at a time. Immutable. */
    private record Backlog(double workMs, long atNanos) {
        double remainingMs(long nowNanos) {
            return Math.max(0, workMs - (nowNanos - atNanos) / NANOS_PER_MS);
        }
    }

    private final Map<MemberId, Report> reports = new HashMap<>();
    private final Map<MemberId, Backlog> backlogs = new HashMap<>();

    /** Records a report, except one that states no concurrency. */
    void recordReport(MemberId member, GateLoad load, int ownInFlight, long nowNanos) {
        if (load.concurrency() > 0) {
            reports.put(member, new Report(load, ownInFlight, nowNanos));
        }
    }

    /** Removes the reports of all other members. */
    void retainMembers(Set<MemberId> members) {
        reports.keySet().retainAll(members);
        backlogs.keySet().retainAll(members);
    }

    /**
     * Notes a request that this daemon sends to a server.
     *
     * @param similarDaemons number of daemons, including this one, that are assumed to send as this one does
     */
    void recordSend(MemberId member, int similarDaemons, long nowNanos) {
        Report report = reports.get(member);
        if (report == null || similarDaemons < 2) {
            return;
        }
        double addedMs =
                report.load().serviceMs() * (similarDaemons - 1) / report.load().concurrency();
        backlogs.put(member, new Backlog(Math.min(MAX_BACKLOG_MS, backlogMs(member, nowNanos) + addedMs), nowNanos));
    }

    private double backlogMs(MemberId member, long nowNanos) {
        Backlog backlog = backlogs.get(member);
        return backlog == null ? 0 : backlog.remainingMs(nowNanos);
    }

    /** The latest report of a server; empty if there is none. */
    Optional<GateLoad> latestLoad(MemberId member) {
        return Optional.ofNullable(reports.get(member)).map(Report::load);
    }

    /** Age of the latest report of a server in nanoseconds; 0 without a report. */
    long ageNanos(MemberId member, long nowNanos) {
        Report report = reports.get(member);
        return report == null ? 0 : nowNanos - report.atNanos();
    }

    /** The latest report of a server; {@link ReportedLoad#NONE} without one. */
    ReportedLoad reportedLoad(MemberId member, long nowNanos) {
        Report report = reports.get(member);
        if (report == null) {
            return ReportedLoad.NONE;
        }
        GateLoad load = report.load();
        return new ReportedLoad(
                (nowNanos - report.atNanos()) / NANOS_PER_MS,
                Math.max(0, load.pending() - report.ownInFlight()),
                load.concurrency(),
                load.serviceMs());
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
        return report.load().serviceMs() * serviceRounds + BACKLOG_WEIGHT * backlogMs(member, nowNanos);
    }
}
