package org.coriandercrank.ingress;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.message.OutcomeQuery;
import org.coriandercrank.kernel.ownership.GateStatus;
import org.coriandercrank.kernel.ownership.InheritedRecords;
import org.coriandercrank.kernel.ownership.OwnerGate;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;

/** A gate that answers as a test says. Thread safe. */
final class FakeGate implements OwnerGate {
    final List<CallerRequest> submitted = new CopyOnWriteArrayList<>();
    final List<RequestId> cancelled = new CopyOnWriteArrayList<>();
    volatile Function<CallerRequest, CompletableFuture<CallerAnswer>> answers = request ->
            CompletableFuture.completedFuture(CallerAnswer.executed(200, List.of(), "local".getBytes(TestWorld.UTF8)));

    @Override
    public CompletableFuture<CallerAnswer> submit(CallerRequest request) {
        submitted.add(request);
        return answers.apply(request);
    }

    @Override
    public void cancel(RequestId requestId) {
        cancelled.add(requestId);
    }

    @Override
    public CompletableFuture<OutcomeAnswer> resolve(OutcomeQuery query) {
        return CompletableFuture.completedFuture(OutcomeAnswer.of(OutcomeAnswer.State.BARRED));
    }

    @Override
    public void attach(BackendInfo info, BackendServer server) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> acquire(KeyRange range, Generation fence, InheritedRecords inherited) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<InheritedRecords> release(KeyRange range) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> drain() {
        throw new UnsupportedOperationException();
    }

    @Override
    public List<RangeLoad> loads() {
        return List.of();
    }

    @Override
    public GateStatus status() {
        throw new UnsupportedOperationException();
    }
}
