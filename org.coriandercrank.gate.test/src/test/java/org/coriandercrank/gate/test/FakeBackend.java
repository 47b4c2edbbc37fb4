package org.coriandercrank.gate.test;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.coriandercrank.kernel.backend.BackendCall;
import org.coriandercrank.kernel.backend.BackendHealth;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.backend.ProbeResult;
import org.coriandercrank.kernel.backend.ServerReport;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.Stopwatch;

/** A backend server in virtual time; the test decides when and how its calls end. Not thread safe. */
final class FakeBackend implements BackendServer {
    /** A call; the server may go on executing it after its future has completed. */
    static final class Call {
        final BackendCall backendCall;
        final CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
        boolean executing = true;

        Call(BackendCall backendCall) {
            this.backendCall = backendCall;
        }

        void succeed() {
            executing = false;
            answer.complete(
                    CallerAnswer.executed(200, List.of(), backendCall.request().body()));
        }

        void fail(ResultCode code) {
            executing = code.outcome() != Outcome.NOT_RUN && executing;
            answer.completeExceptionally(new CrankException(code, "fake failure"));
        }
    }

    private final MonotonicClock clock;
    final List<Call> calls = new ArrayList<>();
    final List<Grant> grants = new ArrayList<>();
    private final Map<Grant, CompletableFuture<Long>> unansweredGrants = new LinkedHashMap<>();
    final Set<RequestId> cancelledIds = new LinkedHashSet<>();
    Consumer<Call> onCall = call -> {};
    boolean answersGrants = true;

    /** Whether an earlier grant of any range may still be on its way. */
    boolean mayHoldEarlierGrants;

    ResultCode grantFailure;
    long acknowledgedSequence;
    long lastGrantAtNanos;
    Stopwatch sinceValidity;
    boolean drained;
    ServerReport report = ServerReport.NONE;
    OptionalDouble maxRequestsPerSecond = OptionalDouble.empty();
    ProbeResult probeResult = ProbeResult.ANSWERED;
    int probes;

    FakeBackend(MonotonicClock clock) {
        this.clock = clock;
    }

    @Override
    public CompletableFuture<CallerAnswer> execute(BackendCall backendCall) {
        Call call = new Call(backendCall);
        calls.add(call);
        onCall.accept(call);
        return call.answer;
    }

    @Override
    public OptionalDouble maxRequestsPerSecond() {
        return maxRequestsPerSecond;
    }

    @Override
    public ServerReport report() {
        return report;
    }

    @Override
    public void cancel(RequestId requestId) {
        cancelledIds.add(requestId);
    }

    @Override
    public CompletableFuture<Long> grant(Grant grant, Stopwatch sinceGrantValidity) {
        if (grantFailure != null) {
            return CompletableFuture.failedFuture(new CrankException(grantFailure, "fake failure"));
        }
        grants.add(grant);
        sinceValidity = sinceGrantValidity;
        lastGrantAtNanos = clock.nowNanos();
        if (!answersGrants) {
            CompletableFuture<Long> unanswered = new CompletableFuture<>();
            unansweredGrants.put(grant, unanswered);
            return unanswered;
        }
        acknowledgedSequence = Math.max(acknowledgedSequence, grant.sequence());
        return CompletableFuture.completedFuture(acknowledgedSequence);
    }

    @Override
    public boolean mayHoldEarlierGrant(KeyRange range) {
        return mayHoldEarlierGrants;
    }

    /** Acknowledges the oldest grant that has not been answered. */
    void acknowledgeOldestGrant() {
        Map.Entry<Grant, CompletableFuture<Long>> oldest =
                unansweredGrants.entrySet().iterator().next();
        unansweredGrants.remove(oldest.getKey());
        oldest.getValue().complete(oldest.getKey().sequence());
    }

    Grant lastGrant() {
        return grants.get(grants.size() - 1);
    }

    List<Call> openCalls() {
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
    public CompletableFuture<ProbeResult> probe() {
        probes++;
        return CompletableFuture.completedFuture(probeResult);
    }

    @Override
    public void close() {}
}
