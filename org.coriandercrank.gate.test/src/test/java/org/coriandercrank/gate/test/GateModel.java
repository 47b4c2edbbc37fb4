package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.gate.test.FakeBackend.Call;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.BackendInfo.Capability;
import org.coriandercrank.kernel.table.KeyRange;

/** Drives a gate through random actions and checks its promises against a record of what the server did. */
final class GateModel {
    private static final int SLOTS = 3;
    private static final int IDS = 36;
    private static final int FIRST_POST_ID = 6;
    private static final int FIRST_SHARED_KEY_ID = 18;
    private static final int LAST_KIND = 22;
    private static final long DEADLINE_MS = 400;
    private static final ResultCode[] FAILURES = {
        ResultCode.BACKEND_UNAVAILABLE,
        ResultCode.FENCE_REJECTED,
        ResultCode.OVERLOADED,
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.INTERNAL,
        ResultCode.CALL_TIMEOUT
    };
    private static final KeyRange[] RANGES = {GateFixture.LOW, GateFixture.HIGH, KeyRange.ALL};

    private record Started(Call call, KeyHash hash, long deadlineNanos) {}

    private record Acquired(KeyRange range, long fence) {}

    private final GateFixture gate;
    private final GateOptions options;
    private final Set<Capability> capabilities;
    private final List<Started> started = new ArrayList<>();
    private final Map<RequestId, Integer> unanswered = new HashMap<>();
    private final List<CompletableFuture<CallerAnswer>> results = new ArrayList<>();
    private final List<CompletableFuture<Void>> checks = new ArrayList<>();
    private final Map<String, Long> firstAttemptNanos = new HashMap<>();
    private final Set<RequestId> barred = new HashSet<>();
    private final List<Acquired> acquired = new ArrayList<>();
    private final List<Acquired> accepted = new ArrayList<>();
    private final List<Acquired> released = new ArrayList<>();
    private long fence = 1;

    GateModel(Set<Capability> capabilities, GateOptions options) {
        this.capabilities = capabilities;
        this.options = options;
        gate = new GateFixture(options);
        gate.rules = shortDeadlines(gate.rules);
        gate.backend.onCall = this::onCall;
        gate.attach(SLOTS, capabilities);
        acquire(KeyRange.ALL, fence, TransferredRecords.NEVER_OWNED);
        assertThat(acquired).isNotEmpty();
    }

    /** With the default of 30 s the memory of the gate would never reach back far enough for BARRED. */
    private static ServiceConfig shortDeadlines(ServiceConfig rules) {
        return new ServiceConfig(
                rules.name(),
                true,
                rules.repeatableMethods(),
                (int) DEADLINE_MS,
                (int) DEADLINE_MS,
                rules.maxBodyBytes(),
                rules.maxQueueLength(),
                rules.maxKeySharePercent(),
                rules.placementPolicy(),
                rules.balancingPolicy(),
                rules.locality(),
                rules.keySpaceBits());
    }

    void act(int kind, int pick) {
        switch (kind) {
            case 0, 1, 2, 3, 4, 5 -> submit(request(pick % IDS));
            case 6 -> gate.core.cancel(request(pick % IDS).id());
            case 7 -> resolve(request(pick % IDS));
            case 8, 9 -> acquire(RANGES[pick % RANGES.length], ++fence, TransferredRecords.NONE);
            case 10 -> acquire(RANGES[pick % RANGES.length], Math.max(1, fence - 1), TransferredRecords.NONE);
            case 11 -> release(RANGES[pick % RANGES.length]);
            case 12 -> setLease(pick % 3 != 0);
            case 13, 14, 15 -> pickOpen(pick).forEach(Call::succeed);
            case 16 -> pickOpen(pick).forEach(c -> c.fail(FAILURES[pick % FAILURES.length]));
            case 17 -> gate.backend.answersGrants = pick % 3 != 0;
            case 18 -> gate.attach(SLOTS, capabilities);
            default -> gate.timers.advanceMs(pick % 120);
        }
        gate.timers.settle();
        checks.removeIf(check -> {
            if (check.isDone()) {
                check.join();
            }
            return check.isDone();
        });
    }

    private void setLease(boolean valid) {
        gate.leaseRenewed = valid;
        if (!valid) {
            gate.lapseLease();
        }
    }

    /** Each submitted request is answered by its deadline, whatever the server does. */
    void finish() {
        gate.timers.advanceMs(DEADLINE_MS + 2.0 * options.busyTickMs());
        assertThat(results).allMatch(CompletableFuture::isDone);
        act(LAST_KIND, 0);
    }

    int executions() {
        return started.size();
    }

    private CallerRequest request(int i) {
        String method = i < FIRST_POST_ID ? "GET" : "POST";
        String idempotencyKey = i < FIRST_SHARED_KEY_ID ? null : "x" + i % 4;
        String key = i < FIRST_SHARED_KEY_ID ? "key" + i % 5 : "shared" + i % 4;
        OptionalLong ageMs = OptionalLong.empty();
        if (idempotencyKey != null) {
            Long first = firstAttemptNanos.get(idempotencyKey);
            ageMs = OptionalLong.of(first == null ? 0 : Math.max(1, TimeUnit.NANOSECONDS.toMillis(gate.now() - first)));
        }
        return GateFixture.request("id" + i, key, method, DEADLINE_MS, idempotencyKey, ageMs);
    }

    private void submit(CallerRequest request) {
        request.idempotencyKey().ifPresent(k -> firstAttemptNanos.putIfAbsent(k.value(), gate.now()));
        unanswered.merge(request.id(), 1, Integer::sum);
        CompletableFuture<CallerAnswer> result = new CompletableFuture<>();
        checks.add(result.thenAccept(answer -> onAnswer(request, answer)));
        results.add(result);
        gate.core.submit(request, gate.now(), result);
    }

    private void onAnswer(CallerRequest request, CallerAnswer answer) {
        unanswered.merge(request.id(), -1, Integer::sum);
        if (answer.outcome() == Outcome.NOT_RUN && !request.method().equals("GET")) {
            assertThat(callsOf(request)).as("NOT_RUN for %s", request.id()).allMatch(GateModel::certainlyNotRun);
        }
    }

    private void onCall(Call call) {
        CallerRequest request = call.request.request();
        KeyHash hash = request.key().orElseThrow().hash();
        long callFence = call.request.fence().value();
        assertThat(gate.leaseRenewed).as("lease at execution").isTrue();
        assertThat(gate.backend.open()).as("slots").hasSizeLessThanOrEqualTo(SLOTS);
        assertThat(acquired)
                .as("acquired range of %s", hash)
                .anyMatch(a -> a.fence() == callFence && a.range().contains(hash));
        assertThat(released)
                .as("released range of %s", hash)
                .noneMatch(r -> r.fence() >= callFence && r.range().contains(hash));
        assertThat(barred).doesNotContain(request.id());
        assertThat(openSubmissions(request)).as("open submissions").isPositive();
        if (!request.method().equals("GET")) {
            assertThat(callsOf(request)).as("earlier calls of %s", request.id()).allMatch(GateModel::certainlyNotRun);
        }
        request.idempotencyKey()
                .ifPresent(key -> assertThat(started)
                        .filteredOn(s -> s.hash().equals(hash)
                                && s.call().request.request().idempotencyKey().equals(request.idempotencyKey()))
                        .as("earlier calls of key %s", key)
                        .allMatch(GateModel::certainlyNotRun));
        long deadlineNanos = gate.now() + TimeUnit.MILLISECONDS.toNanos(request.remainingMs());
        started.add(new Started(call, hash, deadlineNanos));
    }

    /** Unanswered submissions of the request or, if it has an idempotency key, of those that share the key. */
    private int openSubmissions(CallerRequest request) {
        if (request.idempotencyKey().isEmpty()) {
            return unanswered.getOrDefault(request.id(), 0);
        }
        int open = 0;
        for (int i = FIRST_SHARED_KEY_ID; i < IDS; i++) {
            CallerRequest other = request(i);
            open += other.idempotencyKey().equals(request.idempotencyKey())
                    ? unanswered.getOrDefault(other.id(), 0)
                    : 0;
        }
        return open;
    }

    /**
     * An outcome query is about a request whose deadline has not passed; the gate need not remember older calls of
     * repeatable requests.
     */
    private void resolve(CallerRequest request) {
        OutcomeAnswer.State state = gate.resolve(request);
        if (state == OutcomeAnswer.State.BARRED) {
            barred.add(request.id());
            boolean repeatable = request.method().equals("GET");
            assertThat(callsOf(request))
                    .as("BARRED for %s", request.id())
                    .allMatch(s -> certainlyNotRun(s) || (repeatable && gate.now() - s.deadlineNanos() >= 0));
        }
    }

    private void acquire(KeyRange range, long newFence, TransferredRecords inherited) {
        CompletableFuture<Void> result = gate.core.acquire(range, new Generation(newFence), inherited);
        if (!result.isCompletedExceptionally()) {
            accepted.add(new Acquired(range, newFence));
        }
        result.thenAccept(done -> acquired.add(new Acquired(range, newFence)));
        gate.timers.settle();
    }

    private void release(KeyRange range) {
        int startedBefore = started.size();
        List<Acquired> given = accepted.stream()
                .filter(a -> a.range().overlaps(range))
                .map(a -> new Acquired(overlap(a.range(), range), a.fence()))
                .toList();
        released.addAll(given);
        checks.add(gate.release(range).thenAccept(records -> {
            for (Started s : started.subList(0, startedBefore)) {
                if (range.contains(s.hash())) {
                    assertThat(mayStillWork(s))
                            .as("call in flight after a release")
                            .isFalse();
                }
            }
            assertThat(serverHolds(given)).as("grant after a release").isFalse();
        }));
    }

    private boolean mayStillWork(Started s) {
        long stopsAfterMs = capabilities.contains(Capability.DEADLINE) ? 0 : options.lostCallLifetimeMs();
        boolean stopped = gate.now() - s.deadlineNanos() >= TimeUnit.MILLISECONDS.toNanos(stopsAfterMs);
        boolean stopsItself = s.call().answer.isDone() || capabilities.contains(Capability.DEADLINE);
        return s.call().working && !(stopped && stopsItself);
    }

    private boolean serverHolds(List<Acquired> given) {
        Grant last = gate.backend.lastGrant();
        boolean lapsed = capabilities.contains(Capability.VALIDITY)
                && gate.now() - gate.backend.lastGrantAtNanos >= TimeUnit.MILLISECONDS.toNanos(last.validityMs());
        return !lapsed
                && last.ranges().stream()
                        .anyMatch(g -> given.stream()
                                .anyMatch(r -> r.fence() >= g.fence().value()
                                        && r.range().overlaps(g.range())));
    }

    private static KeyRange overlap(KeyRange a, KeyRange b) {
        return a.contains(b) ? b : a;
    }

    private List<Started> callsOf(CallerRequest request) {
        return started.stream()
                .filter(s -> s.call().request.request().id().equals(request.id()))
                .toList();
    }

    private List<Call> pickOpen(int pick) {
        List<Call> open = gate.backend.open();
        return open.isEmpty() ? List.of() : List.of(open.get(pick % open.size()));
    }

    private static boolean certainlyNotRun(Started s) {
        return s.call().answer.isCompletedExceptionally() && !s.call().working;
    }
}
