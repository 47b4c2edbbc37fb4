package org.coriandercrank.scheduling.balancing;

import java.util.List;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.ReportedLoad;

/**
 * Expected load of the candidates of one choice, and the distribution of new requests that levels their costs. Confined
 * to one call.
 *
 * <p>The cost of a server at occupancy {@code u} (requests per slot) is {@code distance + SERVICE_WEIGHT * serviceMs +
 * meanServiceMs * u^4}, or {@code u^8} for servers with many slots. The powers approximate the mean wait of a queue,
 * which is short until most of the slots are taken, and the shorter the more slots there are.
 */
final class ServerLoads {
    private static final double OTHER_DOMAIN_PENALTY_MS = 8;
    private static final double OTHER_REGION_PENALTY_MS = 120;

    /**
     * Part of the service time that counts as cost. With the whole of it, slow servers stay unused until fast ones
     * queue, and a queue from stale reports costs more than the slower execution.
     */
    private static final double SERVICE_WEIGHT = 0.25;

    /**
     * Mean age of the reports at which half of that part counts. A burst that old reports do not show yet would
     * otherwise reach the fast servers alone.
     */
    private static final double SERVICE_WEIGHT_AGE_MS = 150;

    /** Time for which requests are on their way and not contained in a report that has just arrived. */
    private static final double TRANSIT_MS = 40;

    /** A reported service time counts in full up to this age. */
    private static final double SERVICE_TIME_VALID_MS = 2_000;

    /** Age at which a long reported service time no longer counts, so that the server is tried again. */
    private static final double SERVICE_TIME_EXPIRED_MS = 15_000;

    /** Service time and slots that are assumed if no candidate has reported any. */
    private static final double DEFAULT_SERVICE_MS = 100;

    private static final double DEFAULT_CONCURRENCY = 4;

    /** Factor by which a report may exceed the mean of the other servers; a larger one is taken for false. */
    private static final double MAX_ADVANTAGE = 4;

    /** Slope of the cost of a queue over its mean wait, which continues the slope at a full server. */
    private static final double QUEUE_WEIGHT = 4;

    /**
     * Slots from which the wait follows the higher power. With the lower one, requests to servers of 13 slots left their
     * region while one slot in seven was free.
     */
    private static final double MANY_SLOTS = 8;

    private static final int BISECTION_STEPS = 24;

    private final int size;
    private final double[] concurrency;
    private final double[] serviceMs;
    private final double[] pending;
    private final double[] baseCostMs;

    /** Requests that raise the load by one at the end of the time since the report, as some of them end before it. */
    private final double[] turnover;

    private double meanServiceMs;
    private double newRequests;

    ServerLoads(List<BalancingCandidate> candidates) {
        size = candidates.size();
        concurrency = new double[size];
        serviceMs = new double[size];
        pending = new double[size];
        baseCostMs = new double[size];
        turnover = new double[size];
        setCapacities(candidates);
        predict(candidates);
    }

    private void setCapacities(List<BalancingCandidate> candidates) {
        double slots = 0;
        double serviceSumMs = 0;
        double shortestMs = Double.POSITIVE_INFINITY;
        int reported = 0;
        int timed = 0;
        for (int i = 0; i < size; i++) {
            ReportedLoad report = candidates.get(i).report();
            slots += Math.max(0, report.concurrency());
            reported += report.isPresent() ? 1 : 0;
            if (isTimed(report)) {
                timed++;
                serviceSumMs += report.serviceMs();
            }
        }
        for (int i = 0; i < size; i++) {
            ReportedLoad report = candidates.get(i).report();
            if (isTimed(report)) {
                double othersMs = timed > 1 ? (serviceSumMs - report.serviceMs()) / (timed - 1) : report.serviceMs();
                serviceMs[i] = Math.max(report.serviceMs(), othersMs / MAX_ADVANTAGE);
                shortestMs = Math.min(shortestMs, serviceMs[i]);
            }
            if (report.isPresent()) {
                double othersSlots = reported > 1
                        ? (slots - report.concurrency()) / (reported - 1)
                        : Math.max(DEFAULT_CONCURRENCY, report.concurrency());
                concurrency[i] = Math.min(report.concurrency(), MAX_ADVANTAGE * othersSlots);
            } else {
                concurrency[i] = reported > 0 ? slots / reported : DEFAULT_CONCURRENCY;
            }
            concurrency[i] *= candidates.get(i).weightPercent() / 100.0;
        }
        double fallbackMs = timed > 0 ? shortestMs : DEFAULT_SERVICE_MS;
        double rate = 0;
        double totalSlots = 0;
        for (int i = 0; i < size; i++) {
            serviceMs[i] =
                    aged(serviceMs[i], fallbackMs, candidates.get(i).report().ageMs());
            rate += concurrency[i] / serviceMs[i];
            totalSlots += concurrency[i];
        }
        meanServiceMs = totalSlots / rate;
    }

    private static boolean isTimed(ReportedLoad report) {
        return report.isPresent() && report.serviceMs() > 0 && report.serviceMs() < Double.POSITIVE_INFINITY;
    }

    /** The service time, which approaches that of the fastest server as its report ages. */
    private static double aged(double reportedMs, double shortestMs, double ageMs) {
        if (reportedMs <= 0) {
            return shortestMs;
        }
        double validity = (SERVICE_TIME_EXPIRED_MS - ageMs) / (SERVICE_TIME_EXPIRED_MS - SERVICE_TIME_VALID_MS);
        return shortestMs + (reportedMs - shortestMs) * Math.max(0, Math.min(1, validity));
    }

    /**
     * Sets the requests that each server is expected to have left, and those that arrived since without notice. Daemons
     * of another region prefer its servers, so the requests there are expected to go on and are not counted as new.
     */
    private void predict(List<BalancingCandidate> candidates) {
        boolean anyInRegion = candidates.stream().anyMatch(BalancingCandidate::sameRegion);
        double rate = 0;
        double weightedAgeMs = 0;
        for (int i = 0; i < size; i++) {
            BalancingCandidate candidate = candidates.get(i);
            double ageMs = Math.max(0, candidate.report().ageMs());
            int others = Math.max(0, candidate.report().othersPending());
            double services = (ageMs + TRANSIT_MS) / serviceMs[i];
            turnover[i] = services / (1 - Math.exp(-services));
            if (anyInRegion && !candidate.sameRegion()) {
                pending[i] = others + candidate.inFlight();
                continue;
            }
            double serverRate = Math.min(others, concurrency[i]) / serviceMs[i];
            rate += serverRate;
            weightedAgeMs += serverRate * ageMs;
            pending[i] = remaining(others, concurrency[i], serviceMs[i], ageMs + TRANSIT_MS) + candidate.inFlight();
        }
        double meanAgeMs = rate > 0 ? weightedAgeMs / rate : 0;
        newRequests = 1 + rate * (meanAgeMs + TRANSIT_MS);
        double serviceWeight = SERVICE_WEIGHT / (1 + meanAgeMs / SERVICE_WEIGHT_AGE_MS);
        for (int i = 0; i < size; i++) {
            baseCostMs[i] = penaltyMs(candidates.get(i)) + serviceWeight * serviceMs[i];
        }
    }

    private static double penaltyMs(BalancingCandidate candidate) {
        double distanceMs = candidate.sameFailureDomain()
                ? 0
                : candidate.sameRegion() ? OTHER_DOMAIN_PENALTY_MS : OTHER_REGION_PENALTY_MS;
        return distanceMs + Math.max(0, candidate.penaltyMs());
    }

    /** Requests that are left after a time without new ones: a queue shrinks steadily, the running ones end at random. */
    private static double remaining(double requests, double slots, double serviceMs, double ageMs) {
        double drainMs = Math.max(0, requests - slots) * serviceMs / slots;
        return ageMs < drainMs
                ? requests - ageMs * slots / serviceMs
                : Math.min(requests, slots) * Math.exp((drainMs - ageMs) / serviceMs);
    }

    /** Share of each server in the new requests. */
    double[] shares() {
        double low = Double.POSITIVE_INFINITY;
        for (double costMs : baseCostMs) {
            low = Math.min(low, costMs);
        }
        double stepMs = meanServiceMs;
        while (room(low + stepMs) < newRequests) {
            stepMs *= 4;
        }
        double high = low + stepMs;
        for (int step = 0; step < BISECTION_STEPS; step++) {
            double middle = (low + high) / 2;
            if (room(middle) < newRequests) {
                low = middle;
            } else {
                high = middle;
            }
        }
        double[] shares = new double[size];
        double total = 0;
        for (int i = 0; i < size; i++) {
            shares[i] = room(i, high);
            total += shares[i];
        }
        for (int i = 0; i < size; i++) {
            shares[i] /= total;
        }
        return shares;
    }

    private double room(double levelMs) {
        double room = 0;
        for (int i = 0; i < size; i++) {
            room += room(i, levelMs);
        }
        return room;
    }

    /** Requests that a server can take while its report ages until its cost reaches a level. */
    private double room(int server, double levelMs) {
        double waitMs = levelMs - baseCostMs[server];
        if (waitMs <= 0) {
            return 0;
        }
        double occupancy = waitMs < meanServiceMs
                ? occupancyBelowFull(waitMs / meanServiceMs, concurrency[server])
                : 1 + (waitMs - meanServiceMs) / (QUEUE_WEIGHT * serviceMs[server]);
        return Math.max(0, occupancy * concurrency[server] - pending[server]) * turnover[server];
    }

    private static double occupancyBelowFull(double relativeWait, double slots) {
        double fourthRoot = Math.sqrt(Math.sqrt(relativeWait));
        return slots < MANY_SLOTS ? fourthRoot : Math.sqrt(fourthRoot);
    }
}
