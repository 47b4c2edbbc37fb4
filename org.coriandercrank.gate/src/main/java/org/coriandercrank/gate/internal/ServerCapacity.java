package org.coriandercrank.gate.internal;

import java.util.OptionalDouble;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.gate.internal.Execution.AttachedBackend;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.config.CapacityControl;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.scheduling.capacity.ColdCallLimit;
import org.coriandercrank.scheduling.capacity.MeasuredConcurrency;

/**
 * What the attached backend server can take: a number of concurrent calls and, while it states one or is cold, a number
 * of requests per second. The current time and the configuration of the service are parameters of the methods. Not
 * thread safe.
 */
final class ServerCapacity {
    private static final double MS_PER_SECOND = 1_000;

    private final ConcurrencyLimit concurrency;
    private final MeasuredConcurrency measured;
    private final BackendServer server;
    private final double coldOverage;
    private final ColdCallLimit coldCalls;
    private final RequestRateLimiter rate = new RequestRateLimiter();

    /** Whether the rate was not asked for yet. An earlier process may have spent the budget of a cold server. */
    private boolean rateUnused = true;

    /** Changes to the concurrency limit by a refusal. */
    enum Reaction {
        NONE,
        REDUCED,
        /** The refusal was not caused by load. */
        IGNORED
    }

    private ServerCapacity(
            ConcurrencyLimit concurrency,
            MeasuredConcurrency measured,
            BackendServer server,
            double coldOverage,
            double coldSlack) {
        this.concurrency = concurrency;
        this.measured = measured;
        this.server = server;
        this.coldOverage = coldOverage;
        coldCalls = new ColdCallLimit(coldSlack);
    }

    static ServerCapacity of(AttachedBackend backend, GateOptions options, long nowNanos) {
        int slots = backend.info().slots();
        return new ServerCapacity(
                new ConcurrencyLimit(slots, options.slowStartMs(), options.overloadRecoveryMs(), nowNanos),
                new MeasuredConcurrency(slots, options.overloadRecoveryMs(), nowNanos),
                backend.server(),
                options.coldOverage(),
                options.coldSlack());
    }

    /** The capacity while no server is attached: one slot, so that quotients of it stay finite. */
    static ServerCapacity withoutServer(long nowNanos) {
        return new ServerCapacity(
                new ConcurrencyLimit(1, 0, 1, nowNanos), new MeasuredConcurrency(1, 1, nowNanos), null, 1, 1);
    }

    /** Number of calls that may run at a time. */
    int concurrencyLimit(ServiceConfig config, long nowNanos) {
        int limit = isMeasured(config)
                ? Math.min(concurrency.slowStartLimit(nowNanos), measured.limit(nowNanos))
                : concurrency.limit(nowNanos);
        return isColdLimited(config, nowNanos) ? Math.min(limit, coldCalls.limit()) : limit;
    }

    /**
     * Number of slots that the server can keep busy. A server that takes fewer requests per second than its slots could
     * execute has use for only a part of them.
     *
     * @param serviceMs smoothed execution time of a request; 0 if none is known
     */
    double usableSlots(ServiceConfig config, double serviceMs, long nowNanos) {
        update(config, nowNanos);
        int limit = concurrencyLimit(config, nowNanos);
        return rate.requestsPerSecond().isEmpty() || serviceMs == 0
                ? limit
                : Math.min(limit, rate.requestsPerSecond().getAsDouble() * serviceMs / MS_PER_SECOND);
    }

    /** Whether the rate that the server takes allows a request now. */
    boolean maySend(ServiceConfig config, long nowNanos) {
        update(config, nowNanos);
        return rate.maySend();
    }

    void onSend() {
        rate.onSend();
    }

    /**
     * Records the result of a call.
     *
     * @param callsAtStart number of calls that ran when the call was sent, including it
     * @param callsAtEnd number of calls that run now, without it
     */
    Reaction onCallEnd(ServiceConfig config, int callsAtStart, int callsAtEnd, boolean refused, long nowNanos) {
        coldCalls.onAnswered();
        boolean overload = server != null
                && measured.onCallEnd(
                        callsAtStart, callsAtEnd, refused, server.report().load(), nowNanos);
        if (!refused) {
            return Reaction.NONE;
        }
        if (isMeasured(config)) {
            return overload ? Reaction.REDUCED : Reaction.IGNORED;
        }
        concurrency.onOverload(nowNanos);
        return Reaction.REDUCED;
    }

    /** Records a call that ended without an answer. */
    void onCallLost() {
        coldCalls.onLost();
    }

    /** Factor by which calls take longer than usual at present, as the server states. */
    double workFactor(ServiceConfig config, long nowNanos) {
        return isMeasured(config) ? measured.workFactor(nowNanos) : 1;
    }

    /** Time in milliseconds for which the rate delays a request with a number of requests before it. */
    long rateDelayMs(ServiceConfig config, long requestsAhead, long nowNanos) {
        update(config, nowNanos);
        return rate.waitMs(requestsAhead);
    }

    /** Whether the server is cold and the configuration limits what a cold server gets. */
    boolean isColdLimited(ServiceConfig config, long nowNanos) {
        return server != null
                && config.coldRequestsPerSecond() > 0
                && server.report().isCold(nowNanos);
    }

    private static boolean isMeasured(ServiceConfig config) {
        return config.capacityControl() == CapacityControl.MEASURED;
    }

    private void update(ServiceConfig config, long nowNanos) {
        OptionalDouble stated = server == null ? OptionalDouble.empty() : server.maxRequestsPerSecond();
        if (isColdLimited(config, nowNanos)) {
            if (rateUnused) {
                rate.clear();
            }
            double coldRate = coldOverage * config.coldRequestsPerSecond();
            rate.update(OptionalDouble.of(Math.min(coldRate, stated.orElse(coldRate))), nowNanos);
        } else {
            rate.update(stated, nowNanos);
        }
        rateUnused = false;
    }
}
