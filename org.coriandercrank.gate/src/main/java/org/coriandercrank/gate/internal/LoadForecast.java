package org.coriandercrank.gate.internal;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.internal.Execution.AttachedBackend;
import org.coriandercrank.gate.internal.QueueOrder.SortKey;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.request.CallerAnswer;

/**
 * Expected execution and waiting times at the attached backend server, from its capacity, its running calls and the
 * queue. Not thread safe.
 */
final class LoadForecast {
    private final GateContext context;
    private final RequestQueue queue;
    private final BackendCalls calls;
    private final LoadEstimator estimator;
    private AttachedBackend backend;
    private ServerCapacity capacity;

    LoadForecast(GateContext context, RequestQueue queue, BackendCalls calls) {
        this.context = context;
        this.queue = queue;
        this.calls = calls;
        estimator = new LoadEstimator(context.nowNanos());
        capacity = ServerCapacity.withoutServer(context.nowNanos());
    }

    void attach(AttachedBackend newBackend) {
        backend = newBackend;
        capacity = ServerCapacity.of(newBackend, context.options(), context.nowNanos());
    }

    void detach() {
        backend = null;
        capacity = ServerCapacity.withoutServer(context.nowNanos());
    }

    ServerCapacity capacity() {
        return capacity;
    }

    void onArrival(Optional<RequestRules> rules, long nowNanos) {
        estimator.onArrival(rules, nowNanos);
    }

    /**
     * Adapts the concurrency limit to the result of a call that still counts as running. The retry-after time of a
     * refusal is derived from the adapted limit.
     */
    void onCallEnd(Execution execution, CallerAnswer answer, Throwable failure, long nowNanos) {
        boolean refused = failure != null && CrankException.of(failure).code() == ResultCode.OVERLOADED;
        boolean ran = failure == null && answer != null && answer.outcome() == Outcome.RUN;
        if (!execution.backend().equals(backend) || !(refused || ran)) {
            return;
        }
        ServerCapacity.Reaction reaction = capacity.onCallEnd(
                context.serviceConfig(), execution.callsAtStart(), occupiedSlots() - 1, refused, nowNanos);
        if (reaction != ServerCapacity.Reaction.NONE) {
            context.metrics().onServerRefusal(reaction);
            context.logDecision(() -> "event=server-refusal request="
                    + execution.request().id() + " callsAtStart=" + execution.callsAtStart() + " limit="
                    + concurrencyLimit(nowNanos) + " reaction=" + reaction);
        }
    }

    /** Records the final answer to a call; its duration counts as it would be at the usual speed of the host. */
    void onAnswer(Execution execution, CallerAnswer answer, long nowNanos) {
        if (answer.outcome() == Outcome.UNKNOWN && execution.backend().equals(backend)) {
            capacity.onCallLost();
        } else if (answer.outcome() == Outcome.RUN) {
            long durationNanos = nowNanos - execution.startedAtNanos();
            estimator.onExecuted(execution.request().rules(), (long) (durationNanos / workFactor(nowNanos)));
        }
    }

    /** Mean execution time in milliseconds at the present speed of the host. */
    double meanServiceMs(long nowNanos) {
        return estimator.meanMs() * workFactor(nowNanos);
    }

    /** Expected execution time in milliseconds at the usual speed of the host. */
    double serviceMs(Optional<RequestRules> rules) {
        return estimator.serviceMs(rules);
    }

    double serviceMs(Execution execution) {
        return estimator.serviceMs(execution.request().rules());
    }

    /** Expected execution time in milliseconds at the present speed of the host. */
    double presentServiceMs(Optional<RequestRules> rules, long nowNanos) {
        return estimator.serviceMs(rules) * workFactor(nowNanos);
    }

    private double workFactor(long nowNanos) {
        return capacity.workFactor(context.serviceConfig(), nowNanos);
    }

    int concurrencyLimit(long nowNanos) {
        return capacity.concurrencyLimit(context.serviceConfig(), nowNanos);
    }

    /** Number of running calls at the address of the attached backend server. */
    int occupiedSlots() {
        return backend == null ? 0 : calls.runningAtAddressOf(backend);
    }

    double usableSlots(long nowNanos) {
        return capacity.usableSlots(context.serviceConfig(), meanServiceMs(nowNanos), nowNanos);
    }

    boolean isOverloaded(Optional<RequestRules> rules, long nowNanos) {
        return estimator.isOverloaded(rules, usableSlots(nowNanos), nowNanos);
    }

    /** Expected time in milliseconds until a request that arrives now is started. */
    long expectedWaitMs(Optional<RequestRules> rules, long nowNanos) {
        SortKey sortKey = QueueOrder.sortKey(rules, nowNanos, estimator.serviceMs(rules), nowNanos);
        long expectedWaitMs = estimator.expectedWaitMs(
                queue.workAheadMs(sortKey, this::serviceMs, nowNanos),
                occupiedSlots(),
                concurrencyLimit(nowNanos),
                rules);
        long rateDelayMs = capacity.rateDelayMs(
                context.serviceConfig(), queue.requestsAhead(sortKey, this::serviceMs, nowNanos), nowNanos);
        return Math.max(expectedWaitMs, rateDelayMs);
    }

    /** Retry-after time in milliseconds for a refused caller, derived from the queued work. */
    long retryAfterMs(long nowNanos) {
        int limit = concurrencyLimit(nowNanos);
        double queuedWorkMs = queue.workAheadMs(SortKey.LAST, this::serviceMs, nowNanos);
        long rateDelayMs = capacity.rateDelayMs(context.serviceConfig(), queue.size(), nowNanos);
        long drainMs = estimator.expectedWaitMs(queuedWorkMs, occupiedSlots(), limit, Optional.empty());
        return estimator.retryAfterMs(Math.max(drainMs, rateDelayMs), usableSlots(nowNanos), nowNanos);
    }

    /** Whether a queued request has too little time left, or misses its objective while the server is overloaded. */
    boolean cannotFinishInTime(Execution execution, long nowNanos) {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(execution.deadlineNanos() - nowNanos);
        if (remainingMs < Admission.MIN_SERVICE_TIME_SHARE * serviceMs(execution)) {
            return true;
        }
        SortKey sortKey = QueueOrder.sortKey(execution, this::serviceMs, nowNanos);
        return sortKey.missesObjective()
                && backend != null
                && isOverloaded(execution.request().rules(), nowNanos);
    }
}
