package org.coriandercrank.kernel.placement;

import org.coriandercrank.kernel.table.Member;

/**
 * A backend server that may receive a request of an unkeyed service. Immutable.
 *
 * @param inFlight number of requests that this daemon has sent to the server and that are not answered yet
 * @param sameFailureDomain whether the server is in the failure domain of this daemon
 * @param sameRegion whether the server is in the region of this daemon
 * @param weightPercent relative capacity in percent
 * @param expectedMs expected response time in milliseconds without network latency, from the latest load that the
 *     server reported; 0 if unknown
 * @param penaltyMs time in milliseconds by which the server is less preferred than its load says, because its capacity is
 *     kept for other requests
 * @param report the latest load that the server reported, with its age
 */
public record BalancingCandidate(
        Member member,
        int inFlight,
        boolean sameFailureDomain,
        boolean sameRegion,
        int weightPercent,
        double expectedMs,
        double penaltyMs,
        ReportedLoad report) {
    /** A candidate without a report. */
    public BalancingCandidate(
            Member member,
            int inFlight,
            boolean sameFailureDomain,
            boolean sameRegion,
            int weightPercent,
            double expectedMs,
            double penaltyMs) {
        this(member, inFlight, sameFailureDomain, sameRegion, weightPercent, expectedMs, penaltyMs, ReportedLoad.NONE);
    }

    /** A candidate without a penalty. */
    public BalancingCandidate(
            Member member,
            int inFlight,
            boolean sameFailureDomain,
            boolean sameRegion,
            int weightPercent,
            double expectedMs) {
        this(member, inFlight, sameFailureDomain, sameRegion, weightPercent, expectedMs, 0);
    }
}
