package org.coriandercrank.scheduling.balancing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.BalancingPolicy;
import org.coriandercrank.kernel.placement.ReportedLoad;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Simulates choosers that see the load of servers as it was some time before, beside the requests that each has in
 * flight itself. Arrivals come in waves and bursts; one server in five is slowed down for short times. Confined to one
 * thread.
 */
final class BalancingReplay {
    static final int SERVERS = 24;
    static final int SLOTS = 4;
    private static final int NONE = -1;
    private static final int QUEUE_LIMIT = 12;
    private static final double SERVICE_MS = 105;
    private static final double MEAN_LOAD = 0.45;
    private static final int SAMPLE_MS = 10;
    private static final int WARM_UP_MS = 5_000;
    private static final int DURATION_MS = 65_000;
    private static final int SLOWDOWN_MS = 400;
    private static final int SLOWDOWN_PERIOD_MS = 4_000;

    /** Wait that a refused request counts with, so that refusals do not improve the figures. */
    private static final double REFUSED_WAIT_MS = 2_000;

    private static final double SMOOTHING = 0.1;
    private static final int OSCILLATION_WINDOW_S = 5;

    /** How a chooser decides. */
    enum Method {
        SPREAD,
        EXPECTED_TIME,
        RANDOM,
        TWO_CHOICES,
        ORACLE
    }

    /** Replaces what a chooser would see of a server. */
    interface View {
        ReportedLoad see(int chooser, int server, double nowMs, ReportedLoad actual);
    }

    /**
     * Figures of one replay.
     *
     * @param firstRefused requests that the first server refused
     * @param refused requests that the second server refused, too
     * @param refusedBesideIdle requests that a server refused while another had a free slot
     * @param largestShare part of the busiest server in all requests
     */
    record Result(
            double waitP50Ms,
            double waitP99Ms,
            double responseP99Ms,
            double busiestOverMean,
            double oscillationsPerMinute,
            int firstRefused,
            int refused,
            int refusedBesideIdle,
            double largestShare) {}

    private record Call(double endMs, double sentMs, double serviceMs, int chooser, int server) {}

    private final int choosers;
    private final int ageMs;
    private final Method method;
    private final BalancingPolicy policy;
    private final View view;
    private final Random random;
    private final List<Member> members = new ArrayList<>();
    private final double[] speeds = new double[SERVERS];
    private final int[] running = new int[SERVERS];
    private final double[] smoothedMs = new double[SERVERS];
    private final List<Deque<Call>> queues = new ArrayList<>();
    private final PriorityQueue<Call> calls = new PriorityQueue<>((a, b) -> Double.compare(a.endMs(), b.endMs()));
    private final int[] own;
    private final int[][] ownSamples;
    private final int[][] pendingSamples;
    private final double[][] serviceSamples;
    private final double[] backlogMs;
    private final double[] backlogAtMs;
    private final double[][] occupancy = new double[DURATION_MS / 1_000 + 1][SERVERS];
    private final int[] chosen = new int[SERVERS];
    private final List<Double> waitsMs = new ArrayList<>();
    private final List<Double> responsesMs = new ArrayList<>();
    private int firstRefused;
    private int refused;
    private int refusedBesideIdle;

    BalancingReplay(int choosers, int ageMs, Method method, BalancingPolicy policy, View view, long seed) {
        this.choosers = choosers;
        this.ageMs = ageMs;
        this.method = method;
        this.policy = policy;
        this.view = view;
        random = new Random(seed);
        int samples = ageMs / SAMPLE_MS + 1;
        own = new int[choosers * SERVERS];
        ownSamples = new int[samples][choosers * SERVERS];
        pendingSamples = new int[samples][SERVERS];
        serviceSamples = new double[samples][SERVERS];
        backlogMs = new double[choosers * SERVERS];
        backlogAtMs = new double[choosers * SERVERS];
        for (int server = 0; server < SERVERS; server++) {
            speeds[server] = 0.5 + 1.2 * (server * 7 % SERVERS) / (SERVERS - 1.0);
            smoothedMs[server] = SERVICE_MS / speeds[server];
            queues.add(new ArrayDeque<>());
            members.add(member(server));
        }
        for (double[] sample : serviceSamples) {
            System.arraycopy(smoothedMs, 0, sample, 0, SERVERS);
        }
    }

    Result run() {
        double capacityPerMs = Arrays.stream(speeds).sum() * SLOTS / SERVICE_MS;
        double arrivalMs = 0;
        int sampleMs = 0;
        while (arrivalMs < DURATION_MS) {
            double nextEndMs =
                    calls.isEmpty() ? Double.POSITIVE_INFINITY : calls.peek().endMs();
            if (sampleMs <= Math.min(nextEndMs, arrivalMs)) {
                sample(sampleMs);
                sampleMs += SAMPLE_MS;
            } else if (arrivalMs <= nextEndMs) {
                send(random.nextInt(choosers), arrivalMs);
                arrivalMs -= Math.log(1 - random.nextDouble()) / (load(arrivalMs) * capacityPerMs);
            } else {
                answer(calls.poll());
            }
        }
        return result();
    }

    /** Waves of 55% in 17 s, and a burst of 1.7 times for 2 s in each 13 s. */
    private static double load(double nowMs) {
        double wave = 1 + 0.55 * Math.sin(2 * Math.PI * nowMs / 17_000);
        return MEAN_LOAD * wave * (nowMs % 13_000 < 2_000 ? 1.7 : 1);
    }

    private double speed(int server, double nowMs) {
        boolean slow = server % 5 == 0 && (nowMs + server * 613) % SLOWDOWN_PERIOD_MS < SLOWDOWN_MS;
        return slow ? speeds[server] / 3 : speeds[server];
    }

    private int pending(int server) {
        return running[server] + queues.get(server).size();
    }

    private void sample(int nowMs) {
        int index = nowMs / SAMPLE_MS % pendingSamples.length;
        for (int server = 0; server < SERVERS; server++) {
            pendingSamples[index][server] = pending(server);
            occupancy[nowMs / 1_000][server] += pending(server);
        }
        System.arraycopy(smoothedMs, 0, serviceSamples[index], 0, SERVERS);
        System.arraycopy(own, 0, ownSamples[index], 0, own.length);
    }

    /** The report that a chooser has of a server: the oldest sample. */
    private ReportedLoad report(int chooser, int server, double nowMs) {
        int index = ((int) nowMs / SAMPLE_MS + 1) % pendingSamples.length;
        int others = pendingSamples[index][server] - ownSamples[index][chooser * SERVERS + server];
        ReportedLoad actual = new ReportedLoad(ageMs, Math.max(0, others), SLOTS, serviceSamples[index][server]);
        return view.see(chooser, server, nowMs, actual);
    }

    /** Chooses a server other than the tried one; {@link #NONE} stands for no tried server. */
    private int choose(int chooser, int tried, double nowMs) {
        if (method == Method.RANDOM) {
            int drawn = random.nextInt(tried == NONE ? SERVERS : SERVERS - 1);
            return tried != NONE && drawn >= tried ? drawn + 1 : drawn;
        }
        if (method == Method.ORACLE) {
            return fastest(nowMs);
        }
        List<BalancingCandidate> candidates = new ArrayList<>(SERVERS);
        for (int server = 0; server < SERVERS; server++) {
            if (server != tried) {
                candidates.add(candidate(chooser, server, nowMs));
            }
        }
        int index = policy.choose(candidates, random);
        return tried != NONE && index >= tried ? index + 1 : index;
    }

    private BalancingCandidate candidate(int chooser, int server, double nowMs) {
        int index = chooser * SERVERS + server;
        ReportedLoad report = report(chooser, server, nowMs);
        double expectedMs = expectedMs(index, report, own[index], nowMs);
        return new BalancingCandidate(members.get(server), own[index], true, true, 100, expectedMs, 0, report);
    }

    private int fastest(double nowMs) {
        int best = 0;
        double shortestMs = Double.POSITIVE_INFINITY;
        for (int server = 0; server < SERVERS; server++) {
            double rounds = Math.max(1, (pending(server) + 1.0) / SLOTS);
            double expectedMs = rounds * SERVICE_MS / speed(server, nowMs);
            if (expectedMs < shortestMs && !isFull(server)) {
                shortestMs = expectedMs;
                best = server;
            }
        }
        return best;
    }

    /** The estimate of LoadEstimator in the ingress module, with its backlog. */
    private double expectedMs(int index, ReportedLoad report, int inFlight, double nowMs) {
        if (!report.isPresent()) {
            return 0;
        }
        double othersPending = report.othersPending() * Math.max(0, 1 - report.ageMs() / 2_000);
        double rounds = Math.max(1, (othersPending + inFlight + 1) / report.concurrency());
        return report.serviceMs() * rounds + 0.1 * Math.max(0, backlogMs[index] - (nowMs - backlogAtMs[index]));
    }

    /** Sends a request; one that the gate refuses goes to one other server, as in the product. */
    private void send(int chooser, double nowMs) {
        int server = choose(chooser, NONE, nowMs);
        countSend(chooser, server, nowMs);
        if (isFull(server)) {
            int other = choose(chooser, server, nowMs);
            countSend(chooser, other, nowMs);
            if (nowMs >= WARM_UP_MS) {
                firstRefused++;
                refused += isFull(other) ? 1 : 0;
                refusedBesideIdle += Arrays.stream(running).anyMatch(count -> count < SLOTS) ? 1 : 0;
            }
            server = other;
        }
        if (isFull(server)) {
            if (nowMs >= WARM_UP_MS) {
                waitsMs.add(REFUSED_WAIT_MS);
                responsesMs.add(REFUSED_WAIT_MS);
            }
            return;
        }
        own[chooser * SERVERS + server]++;
        Call call = new Call(0, nowMs, 0, chooser, server);
        if (running[server] < SLOTS) {
            start(call, nowMs);
        } else {
            queues.get(server).add(call);
        }
    }

    private boolean isFull(int server) {
        return pending(server) >= SLOTS + QUEUE_LIMIT;
    }

    private void countSend(int chooser, int server, double nowMs) {
        int index = chooser * SERVERS + server;
        double remainingMs = Math.max(0, backlogMs[index] - (nowMs - backlogAtMs[index]));
        backlogMs[index] = Math.min(5_000, remainingMs + smoothedMs[server] * (choosers - 1) / SLOTS);
        backlogAtMs[index] = nowMs;
        if (nowMs >= WARM_UP_MS) {
            chosen[server]++;
        }
    }

    private void start(Call call, double nowMs) {
        running[call.server()]++;
        double serviceMs = SERVICE_MS / speed(call.server(), nowMs) * (0.3 + 1.4 * random.nextDouble());
        calls.add(new Call(nowMs + serviceMs, call.sentMs(), serviceMs, call.chooser(), call.server()));
        if (call.sentMs() >= WARM_UP_MS) {
            waitsMs.add(nowMs - call.sentMs());
            responsesMs.add(nowMs + serviceMs - call.sentMs());
        }
    }

    private void answer(Call call) {
        int server = call.server();
        running[server]--;
        own[call.chooser() * SERVERS + server]--;
        smoothedMs[server] += SMOOTHING * (call.serviceMs() - smoothedMs[server]);
        Optional.ofNullable(queues.get(server).poll()).ifPresent(next -> start(next, call.endMs()));
    }

    private Result result() {
        double busiest = 0;
        int oscillations = 0;
        int[] lastHighS = new int[SERVERS];
        Arrays.fill(lastHighS, -OSCILLATION_WINDOW_S - 1);
        for (int second = WARM_UP_MS / 1_000; second < DURATION_MS / 1_000; second++) {
            double mean = Arrays.stream(occupancy[second]).sum() / SERVERS;
            double max = Arrays.stream(occupancy[second]).max().orElse(0);
            busiest += max / mean;
            for (int server = 0; server < SERVERS; server++) {
                double relative = occupancy[second][server] / mean;
                if (relative > 1.5) {
                    lastHighS[server] = second;
                } else if (relative < 0.5 && second - lastHighS[server] <= OSCILLATION_WINDOW_S) {
                    oscillations++;
                    lastHighS[server] = -OSCILLATION_WINDOW_S - 1;
                }
            }
        }
        double seconds = (DURATION_MS - WARM_UP_MS) / 1_000.0;
        return new Result(
                quantile(waitsMs, 0.5),
                quantile(waitsMs, 0.99),
                quantile(responsesMs, 0.99),
                busiest / seconds,
                oscillations * 60 / seconds,
                firstRefused,
                refused,
                refusedBesideIdle,
                (double) Arrays.stream(chosen).max().orElse(0)
                        / Math.max(1, Arrays.stream(chosen).sum()));
    }

    private static double quantile(List<Double> values, double quantile) {
        double[] sorted =
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[(int) (quantile * (sorted.length - 1))];
    }

    static Member member(int number) {
        HostAddress address = new HostAddress("10.0.0." + (number + 1), 1);
        return new Member(
                new MemberId("m" + number),
                address,
                address,
                address,
                new Region("r"),
                new FailureDomain("d"),
                MemberState.ACTIVE,
                Optional.empty(),
                List.of());
    }
}
