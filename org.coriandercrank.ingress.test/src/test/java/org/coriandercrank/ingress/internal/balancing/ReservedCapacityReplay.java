package org.coriandercrank.ingress.internal.balancing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.coriandercrank.ingress.OutlierDetectionOptions;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.Locality;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.config.Route;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Simulates daemons in two regions that choose among the servers of one service with the real balancer. Some requests are
 * bound to the first region, the others may go anywhere. Reports reach a daemon only with the answers to its requests.
 * Single-threaded; the same seed gives the same result.
 */
final class ReservedCapacityReplay {
    static final double BURST_START_MS = 10_000;
    static final double BURST_END_MS = 16_000;
    static final double END_MS = 36_000;

    /** Time after the burst in which the queues of the burst empty. */
    static final double SETTLED_MS = 22_000;

    private static final double WARM_UP_MS = 3_000;
    private static final int SERVERS = 24;
    private static final int CHOOSERS = 40;
    private static final int SLOTS = 13;
    private static final int QUEUE_LENGTH = 64;
    private static final double BOUND_PER_MS = 0.224;
    private static final double BURST_FACTOR = 2.6;
    private static final double FREE_PER_MS = 1.03;
    private static final double BOUND_WORK_MS = 413;
    private static final double FREE_WORK_MS = 79;
    static final double BOUND_OBJECTIVE_MS = 2_550;
    static final double FREE_OBJECTIVE_MS = 311;
    private static final double DOMAIN_LATENCY_MS = 1.4;
    private static final double REGION_LATENCY_MS = 20;
    private static final double NANOS_PER_MS = 1e6;
    private static final double SERVICE_TIME_SMOOTHING = 0.1;
    private static final ServiceName SERVICE = new ServiceName("job-queue");
    private static final Region BOUND_REGION = new Region("r0");
    private static final RequestRules BOUND = new RequestRules(false, 1, 0, 2_550, Set.of(BOUND_REGION));
    private static final RequestRules FREE = new RequestRules(true, 1, 0, 311);

    /** Requests of one kind, sent in one phase. */
    static final class Tally {
        int sent;
        int refused;
        int inObjective;
        int elsewhere;

        double refusedShare() {
            return (double) refused / sent;
        }

        double objectiveShare() {
            return (double) inObjective / sent;
        }

        double elsewhereShare() {
            return (double) elsewhere / sent;
        }
    }

    /** Parts of the simulated time by which requests are counted. */
    enum Phase {
        BEFORE,
        BURST,
        DRAIN,
        AFTER
    }

    private record Event(double atMs, long sequence, Runnable action) {}

    private record Call(int chooser, int server, boolean bound, double sentMs, Tally tally) {}

    private static final class Server {
        private final Deque<Call> queue = new ArrayDeque<>();
        private int running;
        private double serviceMs = FREE_WORK_MS;

        private GateLoad load() {
            return new GateLoad(running + queue.size(), SLOTS, serviceMs);
        }
    }

    private final Random random;
    private final RoutingSnapshot snapshot;
    private final ServiceConfig service = new ServiceConfig(
            SERVICE, false, Set.of(), 2_000, 30_000, 262_144, QUEUE_LENGTH, 50, "", "", Locality.ANY, 64);
    private final ExpectedTimePolicy policy = new ExpectedTimePolicy();
    private final List<Balancer> choosers = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) ->
            a.atMs() == b.atMs() ? Long.compare(a.sequence(), b.sequence()) : Double.compare(a.atMs(), b.atMs()));
    private final Map<Phase, Tally> bound = new HashMap<>();
    private final Map<Phase, Tally> free = new HashMap<>();

    /** Unbound requests of daemons in the bound region, per second: sent, and sent to the other region. */
    private final int[] homeSent = new int[(int) (END_MS / 1_000) + 1];

    private final int[] homeElsewhere = new int[homeSent.length];
    private long sequence;
    private double nowMs;

    ReservedCapacityReplay(boolean reserved, long seed) {
        random = new Random(seed);
        Route route = new Route(
                "start",
                "h",
                "/start/",
                List.of(new Route.Target(SERVICE, 1)),
                false,
                1,
                9_000,
                2_550,
                0,
                Set.of(BOUND_REGION));
        Configuration configuration =
                new Configuration(List.of(service), List.of(), List.of(), reserved ? List.of(route) : List.of());
        List<VersionedMember> members = new ArrayList<>();
        for (int i = 0; i < CHOOSERS; i++) {
            members.add(new VersionedMember(member(i), new Revision(1)));
            choosers.add(new Balancer(
                    region(i), domain(i), OutlierDetectionOptions.DEFAULTS, new Random(seed * CHOOSERS + i)));
        }
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Server());
        }
        snapshot = new RoutingSnapshot(
                new MemberId("m0"),
                new Revision(1),
                configuration,
                Map.of(),
                members.stream().collect(Collectors.toMap(m -> m.member().id(), Function.identity())));
    }

    ReservedCapacityReplay run() {
        arrive(true);
        arrive(false);
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        return this;
    }

    Tally bound(Phase phase) {
        return bound.computeIfAbsent(phase, p -> new Tally());
    }

    Tally free(Phase phase) {
        return free.computeIfAbsent(phase, p -> new Tally());
    }

    /** Share of the unbound requests from the bound region that went to the other region, for each second. */
    double[] sharesElsewhere() {
        double[] shares = new double[homeSent.length];
        for (int i = 0; i < shares.length; i++) {
            shares[i] = homeSent[i] == 0 ? 0 : (double) homeElsewhere[i] / homeSent[i];
        }
        return shares;
    }

    /** Changes of direction of the share by more than a threshold, after the warm-up. */
    int directionChanges(double threshold) {
        double[] shares = sharesElsewhere();
        int changes = 0;
        int direction = 0;
        double extreme = shares[(int) (WARM_UP_MS / 1_000)];
        for (int i = (int) (WARM_UP_MS / 1_000); i < shares.length - 1; i++) {
            double change = shares[i] - extreme;
            if (Math.abs(change) > threshold && Math.signum(change) != direction) {
                changes += direction == 0 ? 0 : 1;
                direction = (int) Math.signum(change);
                extreme = shares[i];
            } else if (change * direction > 0) {
                extreme = shares[i];
            }
        }
        return changes;
    }

    private void at(double atMs, Runnable action) {
        events.add(new Event(atMs, sequence++, action));
    }

    private void arrive(boolean isBound) {
        boolean burst = nowMs >= BURST_START_MS && nowMs < BURST_END_MS;
        double ratePerMs = isBound ? BOUND_PER_MS * (burst ? BURST_FACTOR : 1) : FREE_PER_MS;
        double nextMs = nowMs - Math.log(1 - random.nextDouble()) / ratePerMs;
        if (nextMs < END_MS) {
            at(nextMs, () -> {
                send(random.nextInt(CHOOSERS), isBound);
                arrive(isBound);
            });
        }
    }

    private void send(int chooser, boolean isBound) {
        Balancer balancer = choosers.get(chooser);
        Member member = balancer.choose(
                        snapshot, service, policy, Set.of(), Optional.of(isBound ? BOUND : FREE), false, nowNanos())
                .orElseThrow();
        balancer.recordSend(member.id(), nowNanos());
        int server = Integer.parseInt(member.id().value().substring(1));
        Tally tally = nowMs < WARM_UP_MS ? new Tally() : isBound ? bound(phase()) : free(phase());
        tally.sent++;
        boolean elsewhere = !region(server).equals(region(chooser));
        tally.elsewhere += elsewhere ? 1 : 0;
        if (!isBound && region(chooser).equals(BOUND_REGION)) {
            homeSent[(int) (nowMs / 1_000)]++;
            homeElsewhere[(int) (nowMs / 1_000)] += elsewhere ? 1 : 0;
        }
        Call call = new Call(chooser, server, isBound, nowMs, tally);
        at(nowMs + latencyMs(chooser, server), () -> reach(call));
    }

    private void reach(Call call) {
        Server server = servers.get(call.server());
        if (server.running < SLOTS) {
            execute(call);
        } else if (server.queue.size() < QUEUE_LENGTH) {
            server.queue.add(call);
        } else {
            call.tally().refused++;
            answer(call, false);
        }
    }

    private void execute(Call call) {
        Server server = servers.get(call.server());
        server.running++;
        double workMs = call.bound() ? BOUND_WORK_MS : FREE_WORK_MS;
        double serviceMs = workMs / speed(call.server()) * (0.5 + random.nextDouble());
        at(nowMs + serviceMs, () -> {
            server.running--;
            server.serviceMs += SERVICE_TIME_SMOOTHING * (serviceMs - server.serviceMs);
            Optional.ofNullable(server.queue.poll()).ifPresent(this::execute);
            answer(call, true);
        });
    }

    private void answer(Call call, boolean executed) {
        GateLoad load = servers.get(call.server()).load();
        at(nowMs + latencyMs(call.chooser(), call.server()), () -> {
            Balancer balancer = choosers.get(call.chooser());
            MemberId member = new MemberId("m" + call.server());
            balancer.recordFinish(member);
            balancer.recordLoad(member, load, nowNanos());
            double objectiveMs = call.bound() ? BOUND_OBJECTIVE_MS : FREE_OBJECTIVE_MS;
            call.tally().inObjective += executed && nowMs - call.sentMs() <= objectiveMs ? 1 : 0;
        });
    }

    private Phase phase() {
        if (nowMs < BURST_START_MS) {
            return Phase.BEFORE;
        }
        return nowMs < BURST_END_MS ? Phase.BURST : nowMs < SETTLED_MS ? Phase.DRAIN : Phase.AFTER;
    }

    private long nowNanos() {
        return (long) (nowMs * NANOS_PER_MS);
    }

    private static double latencyMs(int chooser, int server) {
        if (!region(chooser).equals(region(server))) {
            return REGION_LATENCY_MS;
        }
        return domain(chooser).equals(domain(server)) ? 0 : DOMAIN_LATENCY_MS;
    }

    /** From 0.6 to 1.4, the same in both regions. */
    private static double speed(int server) {
        int indexInRegion = server / 2;
        return 0.6 + 0.8 / (SERVERS / 2 - 1) * indexInRegion;
    }

    private static Region region(int member) {
        return new Region("r" + member % 2);
    }

    private static FailureDomain domain(int member) {
        return new FailureDomain("d" + member % 4);
    }

    private static Member member(int number) {
        HostAddress address = new HostAddress("10.0.0." + (number + 1), 1);
        return new Member(
                new MemberId("m" + number),
                address,
                address,
                address,
                region(number),
                domain(number),
                MemberState.ACTIVE,
                number < SERVERS
                        ? Optional.of(new BackendInfo("b" + number, SERVICE, address, SLOTS, 550, Set.of()))
                        : Optional.empty(),
                List.of());
    }
}
