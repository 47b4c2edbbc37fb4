package org.coriandercrank.gate.test;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.coriandercrank.kernel.backend.BackendCall;
import org.coriandercrank.kernel.backend.BackendHealth;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.time.MonotonicClock;

/** A backend server in virtual time whose calls end when the test says so. Not thread safe. */
final class FakeBackend implements BackendServer {
    /** A call and whether the server is at work on it, which may outlast its future. */
    static final class Call {
        final BackendCall request;
        final CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
        boolean working = true;

        Call(BackendCall request) {
            this.request = request;
        }

        void succeed() {
            working = false;
            answer.complete(
                    CallerAnswer.executed(200, List.of(), request.request().body()));
        }

        void fail(ResultCode code) {
            working = code.outcome() != Outcome.NOT_RUN && working;
            answer.completeExceptionally(new CrankException(code, "fake failure"));
        }
    }

    private final MonotonicClock clock;
    final List<Call> calls = new ArrayList<>();
    final List<Grant> grants = new ArrayList<>();
    private final Map<Grant, CompletableFuture<Long>> unansweredGrants = new LinkedHashMap<>();
    final Set<RequestId> cancelled = new LinkedHashSet<>();
    Consumer<Call> onCall = call -> {};
    boolean answersGrants = true;
    ResultCode grantFailure;
    long sequence;
    long lastGrantAtNanos;
    boolean drained;

    FakeBackend(MonotonicClock clock) {
        this.clock = clock;
    }

    @Override
    public CompletableFuture<CallerAnswer> execute(BackendCall request) {
        Call call = new Call(request);
        calls.add(call);
        onCall.accept(call);
        return call.answer;
    }

    @Override
    public void cancel(RequestId requestId) {
        cancelled.add(requestId);
    }

    @Override
    public CompletableFuture<Long> grant(Grant grant) {
        if (grantFailure != null) {
            return CompletableFuture.failedFuture(new CrankException(grantFailure, "fake failure"));
        }
        grants.add(grant);
        lastGrantAtNanos = clock.nowNanos();
        if (!answersGrants) {
            CompletableFuture<Long> unanswered = new CompletableFuture<>();
            unansweredGrants.put(grant, unanswered);
            return unanswered;
        }
        sequence = Math.max(sequence, grant.sequence());
        return CompletableFuture.completedFuture(sequence);
    }

    /** Answers the first grant that got no answer. */
    void acknowledgeOldest() {
        Map.Entry<Grant, CompletableFuture<Long>> oldest =
                unansweredGrants.entrySet().iterator().next();
        unansweredGrants.remove(oldest.getKey());
        oldest.getValue().complete(oldest.getKey().sequence());
    }

    Grant lastGrant() {
        return grants.get(grants.size() - 1);
    }

    List<Call> open() {
        return calls.stream().filter(c -> !c.answer.isDone()).toList();
    }

    @Override
    public CompletableFuture<Void> drain() {
        drained = true;
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<BackendHealth> health() {
        return CompletableFuture.completedFuture(new BackendHealth(true, drained, 0));
    }

    @Override
    public void close() {}
}
