package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.gate.test.FakeBackend.Call;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.backend.ProbeResult;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.ownership.RequestQuarantine.Status;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.BackendInfo.Capability;
import org.coriandercrank.kernel.table.KeyRange;

/** Performs random actions on a gate and checks its invariants against the calls that the backend server received. */
final class GateModel {
    private static final int SLOTS = 3;
    private static final int ID_COUNT = 36;
    private static final int FINGERPRINT_COUNT = 12;
    private static final Status[] STATUSES = Status.values();

    /** Index of the first request id with method POST; those before have method GET. */
    private static final int FIRST_POST_ID = 6;

    /** Index of the first request id with an idempotency key, which it shares with others. */
    private static final int FIRST_ID_WITH_IDEMPOTENCY_KEY = 18;

    private static final int ADVANCE_TIME_ACTION = 22;
    private static final long DEADLINE_MS = 400;
    private static final ResultCode[] FAILURES = {
        ResultCode.BACKEND_UNAVAILABLE,
        ResultCode.FENCE_REJECTED,
        ResultCode.OVERLOADED,
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.INTERNAL,
        ResultCode.CALL_TIMEOUT
    };
    private static final KeyRange[] RANGES = {GateFixture.LOWER_HALF, GateFixture.UPPER_HALF, KeyRange.ALL};

    /** A call that the server received, with the hash of its key. */
    private record StartedCall(Call call, KeyHash hash, long deadlineNanos) {}

    /** A range and the fencing token under which it was acquired. */
    private record FencedRange(KeyRange range, long fence) {}

    private final FakeQuarantine quarantine = new FakeQuarantine();
    private final GateFixture gate;
    private final GateOptions options;
    private final Set<Capability> capabilities;
    private final List<StartedCall> startedCalls = new ArrayList<>();
    private final Map<RequestId, Integer> unansweredById = new HashMap<>();
    private final List<CompletableFuture<CallerAnswer>> results = new ArrayList<>();
    private final List<CompletableFuture<Void>> pendingChecks = new ArrayList<>();
    private final Map<String, Long> firstAttemptNanos = new HashMap<>();
    private final Set<RequestId> barredIds = new HashSet<>();
    private final List<FencedRange> acquiredRanges = new ArrayList<>();
    private final List<FencedRange> acceptedRanges = new ArrayList<>();
    private final List<FencedRange> releasedRanges = new ArrayList<>();
    private long latestFence = 1;

    GateModel(Set<Capability> capabilities, GateOptions options) {
        this.capabilities = capabilities;
        this.options = options;
        gate = new GateFixture(options, quarantine);
        gate.serviceConfig = withShortDeadlines(gate.serviceConfig);
        gate.backend.onCall = this::onCall;
        gate.attach(SLOTS, capabilities);
        acquire(KeyRange.ALL, latestFence, TransferredRecords.NEVER_OWNED);
        assertThat(acquiredRanges).isNotEmpty();
    }

    /** With the default maximum deadline of 30 s the history of the gate would never be complete enough for BARRED. */
    private static ServiceConfig withShortDeadlines(ServiceConfig config) {
        return new ServiceConfig(
                config.name(),
                true,
                config.repeatableMethods(),
                (int) DEADLINE_MS,
                (int) DEADLINE_MS,
                config.maxBodyBytes(),
                config.maxQueueLength(),
                config.maxKeySharePercent(),
                config.placementPolicy(),
                config.balancingPolicy(),
                config.locality(),
                config.keySpaceBits());
    }

    /**
     * Performs an action and runs the checks that are due.
     *
     * @param choice selects the request, range, call or time of the action
     */
    void perform(int action, int choice) {
        switch (action) {
            case 0, 1, 2, 3, 4, 5 -> submit(request(choice % ID_COUNT));
            case 6 -> gate.core.cancel(request(choice % ID_COUNT).id());
            case 7 -> resolve(request(choice % ID_COUNT));
            case 8, 9 -> acquire(RANGES[choice % RANGES.length], ++latestFence, TransferredRecords.NONE);
            case 10 -> acquire(RANGES[choice % RANGES.length], Math.max(1, latestFence - 1), TransferredRecords.NONE);
            case 11 -> release(RANGES[choice % RANGES.length]);
            case 12 -> setLeaseValid(choice % 3 != 0);
            case 13, 14, 15 -> selectOpenCall(choice).forEach(Call::succeed);
            case 16 -> selectOpenCall(choice).forEach(c -> c.fail(FAILURES[choice % FAILURES.length]));
            case 17 -> gate.backend.answersGrants = choice % 3 != 0;
            case 18 -> gate.attach(SLOTS, capabilities);
            case 23 -> crashServer(choice % 3 != 0);
            case 24 -> quarantine.statuses.put(fingerprint(choice), STATUSES[choice / ID_COUNT % STATUSES.length]);
            default -> gate.timers.advanceMs(choice % 120);
        }
        gate.timers.runQueuedTasks();
        pendingChecks.removeIf(check -> {
            if (check.isDone()) {
                check.join();
            }
            return check.isDone();
        });
    }

    /** Fails all calls without an answer, as by a crash of the server or by reset connections. */
    private void crashServer(boolean crashed) {
        gate.backend.probeResult = crashed ? ProbeResult.REFUSED : ProbeResult.ANSWERED;
        gate.backend.openCalls().forEach(call -> call.fail(ResultCode.OUTCOME_UNKNOWN));
    }

    /** Requests share fingerprints, as those that come again with a new id do. */
    private static RequestFingerprint fingerprint(int index) {
        return new RequestFingerprint(index % FINGERPRINT_COUNT);
    }

    private Status status(Call call) {
        return quarantine.status(call.backendCall.request());
    }

    private void setLeaseValid(boolean valid) {
        gate.leaseRenewed = valid;
        if (!valid) {
            gate.expireLease();
        }
    }

    /** Checks that each submitted request was answered by its deadline, whatever the server did. */
    void verifyAllAnswered() {
        gate.timers.advanceMs(DEADLINE_MS + 2.0 * options.busyTickMs());
        assertThat(results).allMatch(CompletableFuture::isDone);
        perform(ADVANCE_TIME_ACTION, 0);
    }

    int startedCallCount() {
        return startedCalls.size();
    }

    private CallerRequest request(int index) {
        String method = index < FIRST_POST_ID ? "GET" : "POST";
        String idempotencyKey = index < FIRST_ID_WITH_IDEMPOTENCY_KEY ? null : "x" + index % 4;
        String key = index < FIRST_ID_WITH_IDEMPOTENCY_KEY ? "key" + index % 5 : "shared" + index % 4;
        OptionalLong ageMs = OptionalLong.empty();
        if (idempotencyKey != null) {
            Long firstNanos = firstAttemptNanos.get(idempotencyKey);
            ageMs = OptionalLong.of(
                    firstNanos == null ? 0 : Math.max(1, TimeUnit.NANOSECONDS.toMillis(gate.nowNanos() - firstNanos)));
        }
        return GateFixture.request("id" + index, key, method, DEADLINE_MS, idempotencyKey, ageMs)
                .withFingerprint(Optional.of(fingerprint(index)));
    }

    private void submit(CallerRequest request) {
        request.idempotencyKey().ifPresent(k -> firstAttemptNanos.putIfAbsent(k.value(), gate.nowNanos()));
        unansweredById.merge(request.id(), 1, Integer::sum);
        CompletableFuture<CallerAnswer> result = new CompletableFuture<>();
        pendingChecks.add(result.thenAccept(answer -> onAnswer(request, answer)));
        results.add(result);
        gate.core.submit(request, gate.nowNanos(), result);
    }

    private void onAnswer(CallerRequest request, CallerAnswer answer) {
        unansweredById.merge(request.id(), -1, Integer::sum);
        if (answer.outcome() == Outcome.NOT_RUN && !request.method().equals("GET")) {
            assertThat(callsOf(request)).as("NOT_RUN for %s", request.id()).allMatch(GateModel::certainlyNotRun);
        }
    }

    private void onCall(Call call) {
        CallerRequest request = call.backendCall.request();
        KeyHash hash = request.key().orElseThrow().hash();
        long fence = call.backendCall.fence().value();
        assertThat(gate.leaseRenewed).as("valid lease at execution").isTrue();
        assertThat(status(call)).as("status of a request that is sent").isNotEqualTo(Status.QUARANTINED);
        if (status(call).runsAlone()) {
            assertThat(gate.backend.openCalls())
                    .as("suspects that run")
                    .filteredOn(open -> status(open).runsAlone())
                    .containsExactly(call);
        }
        assertThat(gate.backend.openCalls()).as("slots").hasSizeLessThanOrEqualTo(SLOTS);
        assertThat(acquiredRanges)
                .as("acquired range of %s", hash)
                .anyMatch(a -> a.fence() == fence && a.range().contains(hash));
        assertThat(releasedRanges)
                .as("released range of %s", hash)
                .noneMatch(r -> r.fence() >= fence && r.range().contains(hash));
        assertThat(barredIds).doesNotContain(request.id());
        assertThat(unansweredSubmissions(request)).as("unanswered submissions").isPositive();
        if (!request.method().equals("GET")) {
            assertThat(callsOf(request)).as("earlier calls of %s", request.id()).allMatch(GateModel::certainlyNotRun);
        }
        request.idempotencyKey()
                .ifPresent(key -> assertThat(startedCalls)
                        .filteredOn(started -> started.hash().equals(hash)
                                && started.call()
                                        .backendCall
                                        .request()
                                        .idempotencyKey()
                                        .equals(request.idempotencyKey()))
                        .as("earlier calls of key %s", key)
                        .allMatch(GateModel::certainlyNotRun));
        long deadlineNanos = gate.nowNanos() + TimeUnit.MILLISECONDS.toNanos(request.remainingMs());
        startedCalls.add(new StartedCall(call, hash, deadlineNanos));
    }

    /** Number of unanswered submissions of the request, or of all requests with its idempotency key if it has one. */
    private int unansweredSubmissions(CallerRequest request) {
        if (request.idempotencyKey().isEmpty()) {
            return unansweredById.getOrDefault(request.id(), 0);
        }
        int count = 0;
        for (int i = FIRST_ID_WITH_IDEMPOTENCY_KEY; i < ID_COUNT; i++) {
            CallerRequest other = request(i);
            count += other.idempotencyKey().equals(request.idempotencyKey())
                    ? unansweredById.getOrDefault(other.id(), 0)
                    : 0;
        }
        return count;
    }

    /**
     * An outcome query refers to a request whose deadline has not passed, so the gate need not remember older calls of
     * repeatable requests.
     */
    private void resolve(CallerRequest request) {
        OutcomeAnswer.State state = gate.resolve(request);
        if (state == OutcomeAnswer.State.BARRED || state == OutcomeAnswer.State.RELEASED) {
            barredIds.add(request.id());
            boolean repeatable = request.method().equals("GET");
            assertThat(callsOf(request))
                    .as("%s for %s", state, request.id())
                    .allMatch(started ->
                            certainlyNotRun(started) || (repeatable && gate.nowNanos() - started.deadlineNanos() >= 0));
        }
    }

    private void acquire(KeyRange range, long newFence, TransferredRecords transferred) {
        CompletableFuture<Void> result = gate.core.acquire(range, new Generation(newFence), transferred);
        if (!result.isCompletedExceptionally()) {
            acceptedRanges.add(new FencedRange(range, newFence));
        }
        result.thenAccept(done -> acquiredRanges.add(new FencedRange(range, newFence)));
        gate.timers.runQueuedTasks();
    }

    private void release(KeyRange range) {
        int startedCountBefore = startedCalls.size();
        List<FencedRange> fencedRanges = acceptedRanges.stream()
                .filter(a -> a.range().overlaps(range))
                .map(a -> new FencedRange(smallerOf(a.range(), range), a.fence()))
                .toList();
        releasedRanges.addAll(fencedRanges);
        pendingChecks.add(gate.release(range).thenAccept(records -> {
            for (StartedCall started : startedCalls.subList(0, startedCountBefore)) {
                if (range.contains(started.hash())) {
                    assertThat(mayStillExecute(started))
                            .as("call in flight after a release")
                            .isFalse();
                }
            }
            assertThat(isGrantedAtServer(fencedRanges))
                    .as("grant after a release")
                    .isFalse();
        }));
    }

    /** Whether the server may still execute a call, judged by its capabilities. */
    private boolean mayStillExecute(StartedCall started) {
        long deadlineOverrunMs = capabilities.contains(Capability.DEADLINE) ? 0 : options.lostCallLifetimeMs();
        boolean overrunPassed =
                gate.nowNanos() - started.deadlineNanos() >= TimeUnit.MILLISECONDS.toNanos(deadlineOverrunMs);
        boolean stopsItself = started.call().answer.isDone() || capabilities.contains(Capability.DEADLINE);
        return started.call().executing && !(overrunPassed && stopsItself);
    }

    /** Whether the last grant at the server is still valid and contains one of some ranges. */
    private boolean isGrantedAtServer(List<FencedRange> fencedRanges) {
        Grant last = gate.backend.lastGrant();
        boolean expired = capabilities.contains(Capability.VALIDITY)
                && gate.nowNanos() - gate.backend.lastGrantAtNanos >= TimeUnit.MILLISECONDS.toNanos(last.validityMs());
        return !expired
                && last.ranges().stream()
                        .anyMatch(g -> fencedRanges.stream()
                                .anyMatch(r -> r.fence() >= g.fence().value()
                                        && r.range().overlaps(g.range())));
    }

    /** Intersection of two ranges of which one contains the other. */
    private static KeyRange smallerOf(KeyRange a, KeyRange b) {
        return a.contains(b) ? b : a;
    }

    private List<StartedCall> callsOf(CallerRequest request) {
        return startedCalls.stream()
                .filter(started -> started.call().backendCall.request().id().equals(request.id()))
                .toList();
    }

    private List<Call> selectOpenCall(int choice) {
        List<Call> open = gate.backend.openCalls();
        return open.isEmpty() ? List.of() : List.of(open.get(choice % open.size()));
    }

    /** Whether the server reported that it did not execute a call. */
    private static boolean certainlyNotRun(StartedCall started) {
        return started.call().answer.isCompletedExceptionally() && !started.call().executing;
    }
}
