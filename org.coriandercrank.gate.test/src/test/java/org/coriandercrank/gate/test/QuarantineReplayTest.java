package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.control.internal.QuarantineLedger;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.kernel.backend.ProbeResult;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.ownership.ConfinedRequests;
import org.coriandercrank.kernel.ownership.RequestQuarantine.Status;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.CrashReports;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays five minutes of a service with four servers that crash at random under load, with and without a request that crashes
 * each server that runs it. Guards against refusing requests that only ran beside it, or at servers that crashed for other
 * reasons, and against sending the one that does. Callers send a lost request again up to eight times; a part of all requests is the
 * same as earlier ones.
 */
class QuarantineReplayTest {
    private static final int SERVERS = 4;
    private static final int SLOTS = 18;
    private static final long DURATION_MS = 300_000;
    private static final double ARRIVALS_PER_MS = 0.08;
    private static final double REPEATED_SHARE = 0.3;
    private static final int REPEATED_REQUESTS = 40;
    private static final long SERVICE_MS = 400;
    private static final long CRASH_AFTER_MS = 100;
    private static final long DOWN_MS = 2_500;
    private static final long MEAN_MS_BETWEEN_RANDOM_CRASHES = 6_000;
    private static final long CRASHING_INTERVAL_MS = 400;

    /** From then on the servers have answered most of the requests that come repeatedly. */
    private static final long CRASHING_FROM_MS = 20_000;

    private static final int CALLER_RETRIES = 8;
    private static final int CONTENT_BITS = 48;
    private static final int SERVICES_OF_CALLERS = 3;
    private static final long CALLER_RETRY_DELAY_MS = 50;

    /** Time in which the reports of one daemon reach the others. */
    private static final long DISSEMINATION_MS = 700;

    private static final long CONTACT_MS = 3_000;
    private static final int ALLOWED_LATER_SENDS = 3;
    private static final List<RequestFingerprint> CRASHING =
            List.of(new RequestFingerprint(-1), new RequestFingerprint(-2), new RequestFingerprint(-3)).stream()
                    .map(RequestFingerprint::ofAnyCaller)
                    .toList();

    private final VirtualTimers timers = new VirtualTimers();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<RequestFingerprint, List<Long>> crashingSentAtMs = new HashMap<>();
    private Random random;

    /** Callers that send the same requests; 0 if the protocol does not tell callers apart. */
    private int callers;

    private Random callerRandom;
    private long nowMs;
    private int nextId;
    private int arrivals;
    private int refused;

    /** Confined requests that came while their server was down. */
    private int heldBack;

    private int crashes;

    /** A daemon with its server, which is replaced when it has crashed. */
    private final class Host {
        private final HostAddress address;
        private final QuarantineLedger ledger;
        private final GateFixture gate;
        private boolean up = true;

        Host(int number) {
            address = new HostAddress("127.0.0." + (number + 1), 7001);
            ledger = new QuarantineLedger(timers.clock(), address, this::publish);
            gate = new GateFixture(
                    GateOptions.DEFAULTS.withSlowStartMs(0), ledger, timers, new MemberId("host" + number));
            gate.backend.onCall =
                    call -> timers.once(isCrashing(call) ? CRASH_AFTER_MS : SERVICE_MS, timers, () -> finish(call));
            gate.attach(SLOTS, GateFixture.ALL_CAPABILITIES);
            gate.acquire(KeyRange.ALL, 1, TransferredRecords.NEVER_OWNED);
        }

        private void publish() {
            Optional<CrashReports> crashReports = ledger.ownReports();
            Member sender = member();
            timers.once(
                    DISSEMINATION_MS,
                    timers,
                    () -> hosts.stream()
                            .filter(host -> host != this)
                            .forEach(host -> host.ledger.adopt(sender.withCrashReports(crashReports))));
        }

        private Member member() {
            return new Member(
                    gate.self,
                    address,
                    address,
                    address,
                    new Region("r"),
                    new FailureDomain("d"),
                    MemberState.ACTIVE,
                    Optional.empty(),
                    List.of());
        }

        private boolean isCrashing(FakeBackend.Call call) {
            RequestFingerprint request = fingerprint(call);
            if (CRASHING.contains(request)) {
                crashingSentAtMs
                        .computeIfAbsent(request, each -> new ArrayList<>())
                        .add(nowMs);
            }
            return CRASHING.contains(request);
        }

        private RequestFingerprint fingerprint(FakeBackend.Call call) {
            return call.backendCall.request().fingerprint().orElseThrow().ofAnyCaller();
        }

        private void finish(FakeBackend.Call call) {
            if (call.answer.isDone()) {
                return;
            }
            if (CRASHING.contains(fingerprint(call))) {
                crash();
            } else {
                call.succeed();
            }
        }

        private void crash() {
            up = false;
            crashes++;
            gate.backend.probeResult = ProbeResult.REFUSED;
            gate.backend.openCalls().forEach(call -> call.fail(ResultCode.OUTCOME_UNKNOWN));
            timers.once(DOWN_MS, timers, () -> {
                up = true;
                gate.backend.probeResult = ProbeResult.ANSWERED;
                gate.attach(SLOTS, GateFixture.ALL_CAPABILITIES);
            });
        }
    }

    /** Plays the service with the first of {@link #CRASHING}, each of which comes regularly from a time on. */
    private void play(long seed, int crashingRequests, long crashingFromMs) {
        random = new Random(seed);
        callerRandom = new Random(seed);
        for (int i = 0; i < SERVERS; i++) {
            hosts.add(new Host(i));
        }
        for (nowMs = 0; nowMs < DURATION_MS; nowMs++) {
            if (random.nextDouble() < ARRIVALS_PER_MS) {
                arrivals++;
                boolean repeated = random.nextDouble() < REPEATED_SHARE;
                long fingerprint = repeated ? random.nextInt(REPEATED_REQUESTS) : REPEATED_REQUESTS + arrivals;
                send(new RequestFingerprint(fingerprint), CALLER_RETRIES);
            }
            if (nowMs >= crashingFromMs && nowMs % CRASHING_INTERVAL_MS == 0) {
                CRASHING.subList(0, crashingRequests).forEach(request -> send(request, 1));
            }
            if (random.nextInt((int) MEAN_MS_BETWEEN_RANDOM_CRASHES) == 0) {
                Host host = hosts.get(random.nextInt(SERVERS));
                if (host.up) {
                    host.crash();
                }
            }
            timers.advanceMs(1);
        }
    }

    /** Returns the fingerprint of a request as one of the callers sends it. */
    private RequestFingerprint withCaller(RequestFingerprint fingerprint) {
        long caller = callers == 0 ? fingerprint.caller() : 1 + callerRandom.nextInt(callers);
        return new RequestFingerprint(fingerprint.ofAnyCaller().value() | caller << CONTENT_BITS);
    }

    private void send(RequestFingerprint fingerprint, int retries) {
        List<Host> running = hosts.stream().filter(host -> host.up).toList();
        if (running.isEmpty()) {
            return;
        }
        CallerRequest request = GateFixture.request("r" + nextId++, "key", "GET", 3_000, null, OptionalLong.empty())
                .withFingerprint(Optional.of(withCaller(fingerprint)));
        Optional<Host> target = target(request, running);
        if (target.isEmpty()) {
            heldBack++;
            return;
        }
        CompletableFuture<CallerAnswer> result = target.get().gate.submit(request);
        result.thenAccept(answer -> {
            if (answer.code() == ResultCode.QUARANTINED && !CRASHING.contains(fingerprint)) {
                refused++;
            }
            if (answer.code() == ResultCode.OUTCOME_UNKNOWN && retries > 0) {
                timers.once(CALLER_RETRY_DELAY_MS, timers, () -> send(fingerprint, retries - 1));
            }
        });
    }

    /**
     * Returns the host to which the daemon of a random host sends a request. The server for a confined request may be down;
     * the daemons learn that after they have learned of its crash.
     */
    private Optional<Host> target(CallerRequest request, List<Host> running) {
        Host sender = running.get(random.nextInt(running.size()));
        if (sender.ledger.status(request) != Status.CONFINED) {
            return Optional.of(sender);
        }
        Member selected = ConfinedRequests.server(
                        request.fingerprint().orElseThrow(),
                        hosts.stream().map(Host::member).toList())
                .orElseThrow();
        return running.stream()
                .filter(host -> host.gate.self.equals(selected.id()))
                .findFirst();
    }

    private void print(String name, long seed) {
        System.out.println(name + " seed=" + seed + " requests=" + arrivals + " crashes=" + crashes + " refused="
                + refused + " heldBack=" + heldBack + " crashingSentAtMs=" + crashingSentAtMs);
    }

    /** How often a request was sent later than all daemons must know that it has crashed three servers. */
    private long laterSends(RequestFingerprint crashing) {
        List<Long> sentAtMs = crashingSentAtMs.get(crashing);
        long boundMs = sentAtMs.get(2) + CRASH_AFTER_MS + CONTACT_MS;
        return sentAtMs.stream().filter(ms -> ms > boundMs).count();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void noRequestIsRefusedBecauseServersCrashForOtherReasons(long seed) {
        play(seed, 0, DURATION_MS);
        print("random-crashes", seed);
        assertThat(crashes).isGreaterThan(20);
        assertThat(refused).isZero();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void onlyTheRequestThatCrashesServersIsRefused(long seed) {
        play(seed, 1, CRASHING_FROM_MS);
        print("crashing-request", seed);
        assertThat(laterSends(CRASHING.get(0))).isLessThanOrEqualTo(ALLOWED_LATER_SENDS);
        assertThat(refused).isZero();
    }

    /** Each daemon states the service of its host as the caller, so one request has several callers. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void requestThatSeveralCallersSendIsStopped(long seed) {
        callers = SERVICES_OF_CALLERS;
        play(seed, 1, CRASHING_FROM_MS);
        print("several-callers", seed);
        assertThat(laterSends(CRASHING.get(0))).isLessThanOrEqualTo(ALLOWED_LATER_SENDS);
    }

    /** A request that ran at two crashes of the cause and at a further one was quarantined. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void noRequestOfSeveralCallersIsRefused(long seed) {
        callers = SERVICES_OF_CALLERS;
        play(seed, 1, CRASHING_FROM_MS);
        assertThat(refused).isZero();
    }

    /** Requests that run at the same crashes must not hide each other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void eachOfSeveralRequestsThatCrashServersIsStopped(long seed) {
        play(seed, CRASHING.size(), CRASHING_FROM_MS);
        print("several-crashing-requests", seed);
        assertThat(CRASHING).allSatisfy(each -> assertThat(laterSends(each)).isLessThanOrEqualTo(ALLOWED_LATER_SENDS));
    }

    /** At the start of a service no request has been answered yet, so most that run at a crash are candidates. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 11, 12})
    void noRequestIsRefusedBecauseItRanAtTheFirstCrashes(long seed) {
        playFirstCrashes(seed);
    }

    /** A request that ran at exactly the same crashes as the cause was quarantined with it. */
    @ParameterizedTest
    @ValueSource(longs = {10, 14, 21, 24})
    void requestThatRanAtAllCrashesOfTheCauseIsServed(long seed) {
        playFirstCrashes(seed);
    }

    private void playFirstCrashes(long seed) {
        play(seed, 1, 0);
        print("first-crashes", seed);
        assertThat(laterSends(CRASHING.get(0))).isLessThanOrEqualTo(ALLOWED_LATER_SENDS);
        assertThat(refused).isZero();
    }
}
