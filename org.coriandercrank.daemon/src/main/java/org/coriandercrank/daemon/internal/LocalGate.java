package org.coriandercrank.daemon.internal;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.coriandercrank.gate.Gate;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.ServiceName;
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

/**
 * The gate of this host. It is created when the first backend server is attached; until then, requests are rejected and
 * outcome queries return {@code UNKNOWN}. Thread safe.
 */
public final class LocalGate implements OwnerGate, AutoCloseable {
    private static final GateStatus NO_GATE = new GateStatus(false, false, 0, 0, List.of());

    private final Function<ServiceName, Gate> factory;
    private final AtomicReference<Gate> gate = new AtomicReference<>();

    public LocalGate(Function<ServiceName, Gate> factory) {
        this.factory = factory;
    }

    @Override
    public CompletableFuture<CallerAnswer> submit(CallerRequest request) {
        return currentGate()
                .map(localGate -> localGate.submit(request))
                .orElseGet(() -> CompletableFuture.completedFuture(
                        CallerAnswer.of(ResultCode.NOT_OWNER, "no backend server is attached to this daemon")));
    }

    @Override
    public void cancel(RequestId requestId) {
        currentGate().ifPresent(localGate -> localGate.cancel(requestId));
    }

    @Override
    public CompletableFuture<OutcomeAnswer> resolve(OutcomeQuery query) {
        return currentGate()
                .map(localGate -> localGate.resolve(query))
                .orElseGet(() -> CompletableFuture.completedFuture(OutcomeAnswer.of(OutcomeAnswer.State.UNKNOWN)));
    }

    /** Creates the gate on the first call; later calls must name the same service. */
    @Override
    public synchronized void attach(BackendInfo info, BackendServer server) {
        Gate current = gate.get();
        if (current == null) {
            current = factory.apply(info.service());
            gate.set(current);
        }
        current.attach(info, server);
    }

    @Override
    public void detach() {
        currentGate().ifPresent(Gate::detach);
    }

    @Override
    public void onServerEnded() {
        currentGate().ifPresent(Gate::onServerEnded);
    }

    @Override
    public void onServerRestarted() {
        currentGate().ifPresent(Gate::onServerRestarted);
    }

    @Override
    public void onServerLeaving() {
        currentGate().ifPresent(Gate::onServerLeaving);
    }

    @Override
    public void stopSending() {
        currentGate().ifPresent(Gate::stopSending);
    }

    @Override
    public CompletableFuture<Void> acquire(KeyRange range, Generation fence, TransferredRecords records) {
        return currentGate()
                .map(localGate -> localGate.acquire(range, fence, records))
                .orElseGet(LocalGate::noBackend);
    }

    @Override
    public CompletableFuture<TransferredRecords> release(KeyRange range) {
        return currentGate()
                .map(localGate -> localGate.release(range))
                .orElseGet(() -> CompletableFuture.completedFuture(TransferredRecords.NONE));
    }

    /** Gives up all ranges of a member that has ended; completes when no later lease can renew their grants. */
    public CompletableFuture<Void> endMember() {
        return currentGate().map(Gate::endMember).orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    /** Completes when no backend server can use a grant any more of a range that was given up before this call. */
    public CompletableFuture<Void> awaitRevocations() {
        return currentGate().map(Gate::awaitRevocations).orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    @Override
    public CompletableFuture<Void> drain() {
        return currentGate().map(Gate::drain).orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    @Override
    public List<RangeLoad> rangeLoads() {
        return currentGate().map(Gate::rangeLoads).orElse(List.of());
    }

    @Override
    public GateStatus status() {
        return currentGate().map(Gate::status).orElse(NO_GATE);
    }

    @Override
    public boolean mayHoldEarlierGrant(KeyRange range) {
        return currentGate()
                .map(localGate -> localGate.mayHoldEarlierGrant(range))
                .orElse(false);
    }

    @Override
    public GateLoad load() {
        return currentGate().map(Gate::load).orElse(GateLoad.NONE);
    }

    @Override
    public void close() {
        currentGate().ifPresent(Gate::close);
    }

    private Optional<Gate> currentGate() {
        return Optional.ofNullable(gate.get());
    }

    private static <T> CompletableFuture<T> noBackend() {
        return CompletableFuture.failedFuture(
                new CrankException(ResultCode.BACKEND_UNAVAILABLE, "no backend server is attached to this daemon"));
    }
}
