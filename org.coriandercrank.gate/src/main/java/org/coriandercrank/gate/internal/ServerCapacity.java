package org.coriandercrank.gate.internal;

import java.util.OptionalDouble;
import java.util.function.Supplier;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.gate.internal.Execution.AttachedBackend;

/**
 * What the attached backend server can take: a number of concurrent calls and, while it states one, a number of
 * requests per second. The current time is a parameter of the methods. Not thread safe.
 */
final class ServerCapacity {
    private static final double MS_PER_SECOND = 1_000;

    private final ConcurrencyLimit concurrency;
    private final Supplier<OptionalDouble> statedRate;
    private final RequestRateLimiter rate = new RequestRateLimiter();

    private ServerCapacity(ConcurrencyLimit concurrency, Supplier<OptionalDouble> statedRate) {
        this.concurrency = concurrency;
        this.statedRate = statedRate;
    }

    static ServerCapacity of(AttachedBackend backend, GateOptions options, long nowNanos) {
        return new ServerCapacity(
                new ConcurrencyLimit(
                        backend.info().slots(), options.slowStartMs(), options.overloadRecoveryMs(), nowNanos),
                backend.server()::maxRequestsPerSecond);
    }

    /** The capacity while no server is attached: one slot, so that quotients of it stay finite. */
    static ServerCapacity withoutServer(long nowNanos) {
        return new ServerCapacity(new ConcurrencyLimit(1, 0, 1, nowNanos), OptionalDouble::empty);
    }

    /** Number of calls that may run at a time. */
    int concurrencyLimit(long nowNanos) {
        return concurrency.limit(nowNanos);
    }

    /**
     * Number of slots that the server can keep busy. A server that takes fewer requests per second than its slots could
     * execute has use for only a part of them.
     *
     * @param serviceMs smoothed execution time of a request; 0 if none is known
     */
    double usableSlots(double serviceMs, long nowNanos) {
        update(nowNanos);
        int limit = concurrency.limit(nowNanos);
        return rate.requestsPerSecond().isEmpty() || serviceMs == 0
                ? limit
                : Math.min(limit, rate.requestsPerSecond().getAsDouble() * serviceMs / MS_PER_SECOND);
    }

    /** Whether the stated rate allows a request now. */
    boolean maySend(long nowNanos) {
        update(nowNanos);
        return rate.maySend();
    }

    void onSend() {
        rate.onSend();
    }

    void onOverload(long nowNanos) {
        concurrency.onOverload(nowNanos);
    }

    /** Time in milliseconds for which the stated rate delays a request with a number of requests before it. */
    long rateDelayMs(long requestsAhead, long nowNanos) {
        update(nowNanos);
        return rate.waitMs(requestsAhead);
    }

    private void update(long nowNanos) {
        rate.update(statedRate.get(), nowNanos);
    }
}
