package org.coriandercrank.gate;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.coriandercrank.gate.internal.GateContext;
import org.coriandercrank.gate.internal.GateCore;
import org.coriandercrank.gate.internal.GateMetrics;
import org.coriandercrank.gate.internal.PendingSubmissions;
import org.coriandercrank.gate.internal.PendingSubmissions.Submission;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.message.OutcomeQuery;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.ownership.GateStatus;
import org.coriandercrank.kernel.ownership.OwnerGate;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.time.TimerService;

/**
 * The owner gate of a daemon. All its state is confined to one executor, called the thread of the gate.
 *
 * <p>Thread safe; no method blocks. Futures complete on the thread of the gate, so actions that depend on them must not
 * block. When the task queue of the gate is full, {@link #submit} completes with OVERLOADED, {@link #resolve}, {@link
 * #acquire}, {@link #release} and {@link #drain} fail with OVERLOADED, and {@link #cancel} affects only requests that
 * wait in that queue.
 */
public final class Gate implements OwnerGate, AutoCloseable {
    private static final long QUEUE_FULL_RETRY_AFTER_MS = 20;

    private final TimerService timers;
    private final SerialExecutor executor;
    private final GateCore core;
    private final TimerService.Subscription idleTicks;
    private final long busyTickMs;
    private final GateMetrics metrics;
    private final PendingSubmissions pendingSubmissions = new PendingSubmissions();

    /** Accessed only on the thread of the gate. */
    private boolean busyTickScheduled;

    private final AtomicBoolean closed = new AtomicBoolean();

    private Gate(GateDependencies dependencies, GateOptions options) {
        timers = dependencies.timers();
        executor = dependencies.executorFactory().create("gate", options.taskQueueCapacity());
        metrics = new GateMetrics(dependencies.meterRegistry());
        core = new GateCore(new GateContext(dependencies, options, executor, metrics, closed::get));
        busyTickMs = options.busyTickMs();
        idleTicks = timers.every(options.idleTickMs(), executor, this::idleTick);
    }

    /** Starts a gate that has no backend server and serves no range. */
    public static Gate start(GateDependencies dependencies, GateOptions options) {
        return new Gate(dependencies, options);
    }

    private void idleTick() {
        if (!busyTickScheduled) {
            core.tick();
            scheduleBusyTick();
        }
    }

    private void scheduleBusyTick() {
        if (!busyTickScheduled && core.isBusy()) {
            busyTickScheduled = true;
            timers.once(busyTickMs, executor, this::busyTick);
        }
    }

    private void busyTick() {
        busyTickScheduled = false;
        core.tick();
        scheduleBusyTick();
    }

    /** Schedules a busy tick if needed and returns the result of the action before it. */
    private <T> T withBusyTick(T result) {
        scheduleBusyTick();
        return result;
    }

    @Override
    public CompletableFuture<CallerAnswer> submit(CallerRequest request) {
        CompletableFuture<CallerAnswer> result = new CompletableFuture<>();
        long arrivedAtNanos = timers.clock().nowNanos();
        Submission submission = pendingSubmissions.add(request.id());
        if (!executor.offer(() -> submitOnGateThread(request, submission, arrivedAtNanos, result))) {
            pendingSubmissions.remove(submission);
            result.complete(CallerAnswer.retryLater(
                    ResultCode.OVERLOADED, "the task queue of the gate is full", QUEUE_FULL_RETRY_AFTER_MS));
        }
        return result;
    }

    /** Answers the caller also after an unexpected error; the executor logs the error. */
    private void submitOnGateThread(
            CallerRequest request, Submission submission, long arrivedAtNanos, CompletableFuture<CallerAnswer> result) {
        pendingSubmissions.remove(submission);
        if (submission.isCancelled()) {
            metrics.onAnswer(ResultCode.CANCELLED);
            result.complete(CallerAnswer.of(ResultCode.CANCELLED, "cancelled before it was admitted"));
            return;
        }
        try {
            core.submit(request, arrivedAtNanos, result);
        } catch (RuntimeException e) {
            result.complete(CallerAnswer.of(ResultCode.INTERNAL, "internal error in the gate"));
            throw e;
        }
    }

    @Override
    public void cancel(RequestId requestId) {
        pendingSubmissions.cancel(requestId);
        executor.offer(() -> core.cancel(requestId));
    }

    @Override
    public CompletableFuture<OutcomeAnswer> resolve(OutcomeQuery query) {
        return executor.call(() -> core.resolve(query));
    }

    @Override
    public void attach(BackendInfo info, BackendServer server) {
        executor.execute(() -> core.attach(info, server));
    }

    @Override
    public void detach() {
        executor.execute(core::detach);
    }

    @Override
    public void onServerEnded() {
        executor.execute(core::onServerEnded);
    }

    @Override
    public void onServerRestarted() {
        executor.execute(core::onServerRestarted);
    }

    @Override
    public void onServerLeaving() {
        executor.execute(core::onServerLeaving);
    }

    @Override
    public void stopSending() {
        executor.execute(core::stopSending);
    }

    @Override
    public CompletableFuture<Void> acquire(KeyRange range, Generation fence, TransferredRecords transferred) {
        return executor.call(() -> withBusyTick(core.acquire(range, fence, transferred)))
                .thenCompose(Function.identity());
    }

    @Override
    public CompletableFuture<TransferredRecords> release(KeyRange range) {
        return executor.call(() -> withBusyTick(core.release(range))).thenCompose(Function.identity());
    }

    /**
     * Gives up all ranges of a member that has ended. The lease of the next member must not begin before the future
     * completes, because it would renew the grants of these ranges. The future fails only if the gate is closed.
     */
    public CompletableFuture<Void> endMember() {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        enqueue(
                () -> {
                    core.endMember();
                    scheduleBusyTick();
                    ended.complete(null);
                },
                ended);
        return ended;
    }

    /**
     * Completes when no backend server can start a request any more under a grant of a range that was given up before
     * this call; fails only if the gate is closed.
     */
    public CompletableFuture<Void> awaitRevocations() {
        CompletableFuture<CompletableFuture<Void>> started = new CompletableFuture<>();
        enqueue(() -> started.complete(core.awaitRevocations()), started);
        return started.thenCompose(Function.identity());
    }

    /** Queues a task that must not be lost, also if the task queue is full; fails the result if the gate is closed. */
    private void enqueue(Runnable task, CompletableFuture<?> result) {
        boolean queued = executor.offer(task);
        if (!queued && closed.get()) {
            result.completeExceptionally(new CrankException(ResultCode.DRAINING, "the gate is closed"));
        } else if (!queued) {
            timers.once(QUEUE_FULL_RETRY_AFTER_MS, Runnable::run, () -> enqueue(task, result));
        }
    }

    @Override
    public CompletableFuture<Void> drain() {
        return executor.call(() -> withBusyTick(core.drain())).thenCompose(Function.identity());
    }

    @Override
    public List<RangeLoad> rangeLoads() {
        return core.rangeLoads();
    }

    @Override
    public GateStatus status() {
        return core.status();
    }

    @Override
    public boolean mayHoldEarlierGrant(KeyRange range) {
        return core.mayHoldEarlierGrant(range);
    }

    @Override
    public GateLoad load() {
        return core.load();
    }

    /** Refuses the queued requests and ends the thread. Calls that run at the backend server are not cancelled. */
    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            idleTicks.cancel();
            executor.offer(core::close);
            executor.close();
        }
    }
}
