package org.coriandercrank.kernel.placement;

import org.coriandercrank.kernel.table.Member;

/**
 * A server that may get a request of a service not divided by key. Immutable.
 *
 * @param inFlight requests of this daemon that the server has at present
 * @param sameFailureDomain whether it is in the failure domain of this daemon
 * @param sameRegion whether it is in the region of this daemon
 * @param weightPercent relative capacity
 * @param expectedMs expected time to an answer without the way there, from what the server told last; 0 if unknown
 */
public record BalancingCandidate(
        Member member,
        int inFlight,
        boolean sameFailureDomain,
        boolean sameRegion,
        int weightPercent,
        double expectedMs) {}
