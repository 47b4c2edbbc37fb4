package org.coriandercrank.gate;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.coriandercrank.gate.internal.GateCore;
import org.coriandercrank.gate.internal.GateMetrics;
import org.coriandercrank.gate.internal.GateContext;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.message.OutcomeQuery;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.ownership.GateStatus;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.ownership.OwnerGate;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.time.TimerService;

/**
 * The owner gate of a daemon, on a duty of its own.
 *
 * <p>Thread safe; no method blocks. Futures complete on the thread of the gate, so what depends on them must not
 * block. When the ring of the gate is full, {@link #submit} answers OVERLOADED, {@link #resolve}, {@link #acquire},
 * {@link #release} and {@link #drain} fail with OVERLOADED, and a cancellation is dropped.
 */
public final class Gate implements OwnerGate, AutoCloseable {
    private static final long QUEUE_FULL_RETRY_AFTER_MS = 20;

    private final TimerService timers;
    private final SerialExecutor duty;
    private final GateCore core;
    private final TimerService.Subscription idleTicks;
    private final long busyTickMs;

    /** Touched only on the thread of the gate. */
    private boolean busyTickScheduled;

    private final AtomicBoolean closed = new AtomicBoolean();

    private Gate(GateDependencies inputs, GateOptions options) {
        timers = inputs.timers();
        duty = inputs.duties().create("gate", options.taskQueueCapacity());
        core = new GateCore(new GateContext(inputs, options, duty, new GateMetrics(inputs.meters()), closed::get));
        busyTickMs = options.busyTickMs();
        idleTicks = timers.every(options.idleTickMs(), duty, this::idleTick);
    }

    /** Starts a gate without a backend server and without ranges. */
    public static Gate start(GateDependencies inputs, GateOptions options) {
        return new Gate(inputs, options);
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
            timers.once(busyTickMs, duty, this::busyTick);
        }
    }

    private void busyTick() {
        busyTickScheduled = false;
        core.tick();
        scheduleBusyTick();
    }

    private <T> T withBusyTick(T result) {
        scheduleBusyTick();
        return result;
    }

    @Override
    public CompletableFuture<CallerAnswer> submit(CallerRequest request) {
        CompletableFuture<CallerAnswer> result = new CompletableFuture<>();
        long arrivedAtNanos = timers.clock().nowNanos();
        if (!duty.offer(() -> submitOnGateThread(request, arrivedAtNanos, result))) {
            result.complete(CallerAnswer.retryLater(
                    ResultCode.OVERLOADED, "the gate takes no request at present", QUEUE_FULL_RETRY_AFTER_MS));
        }
        return result;
    }

    /** An unexpected error must not leave the caller without an answer; the duty logs it. */
    private void submitOnGateThread(CallerRequest request, long arrivedAtNanos, CompletableFuture<CallerAnswer> result) {
        try {
            core.submit(request, arrivedAtNanos, result);
        } catch (RuntimeException e) {
            result.complete(CallerAnswer.of(ResultCode.INTERNAL, "the gate failed"));
            throw e;
        }
    }

    @Override
    public void cancel(RequestId requestId) {
        duty.offer(() -> core.cancel(requestId));
    }

    @Override
    public CompletableFuture<OutcomeAnswer> resolve(OutcomeQuery query) {
        return duty.call(() -> core.resolve(query));
    }

    @Override
    public void attach(BackendInfo info, BackendServer server) {
        duty.execute(() -> core.attach(info, server));
    }

    @Override
    public void detach() {
        duty.execute(core::detach);
    }

    @Override
    public void stopSending() {
        duty.execute(core::stopSending);
    }

    @Override
    public CompletableFuture<Void> acquire(KeyRange range, Generation fence, TransferredRecords inherited) {
        return duty.call(() -> withBusyTick(core.acquire(range, fence, inherited))).thenCompose(Function.identity());
    }

    @Override
    public CompletableFuture<TransferredRecords> release(KeyRange range) {
        return duty.call(() -> withBusyTick(core.release(range))).thenCompose(Function.identity());
    }

    @Override
    public CompletableFuture<Void> drain() {
        return duty.call(() -> withBusyTick(core.drain())).thenCompose(Function.identity());
    }

    @Override
    public List<RangeLoad> loads() {
        return core.loads();
    }

    @Override
    public GateStatus status() {
        return core.status();
    }

    @Override
    public boolean mayHoldEarlierGrant(KeyRange range) {
        return core.mayHold(range);
    }

    @Override
    public GateLoad load() {
        return core.load();
    }

    /** Refuses what waits and ends the thread; calls at the backend server are left to end. */
    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            idleTicks.cancel();
            duty.offer(core::close);
            duty.close();
        }
    }
}
