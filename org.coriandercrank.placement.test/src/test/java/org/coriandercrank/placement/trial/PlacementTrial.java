package org.coriandercrank.placement.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.placement.PlacementPolicy;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.placement.TestFleet;
import org.coriandercrank.placement.internal.RebalanceParameters;
import org.coriandercrank.placement.internal.RebalancePolicy;
import org.coriandercrank.placement.internal.ServicePlanningState;
import org.coriandercrank.placement.internal.TableBuilder;
import org.coriandercrank.placement.internal.TablePlanner;
import org.junit.jupiter.api.Test;

/**
 * Compares the placement policies on one deterministic workload. Not a test: its name keeps it out of the build; run it
 * with {@code -Dtest=PlacementTrial}, if wanted for one number of servers ({@code -Dtrial.servers}) and for some policies
 * only ({@code -Dtrial.policies}).
 *
 * <p>One decision per load report of 2 s. Every 5 minutes a server joins, leaves or dies. A planned move makes its keys
 * unavailable for 0.1 s and a takeover for 5 s.
 */
final class PlacementTrial {
    private static final int STEP_MS = 2_000;
    private static final int STEPS = 1_800;
    private static final int STEPS_PER_HOT_SET = 30;
    private static final int STEPS_PER_EVENT = 150;
    private static final int WARM_UP_STEPS = 15;
    private static final double REQUESTS_PER_SERVER = 500;
    private static final double KEY_LIMIT = 0.8;
    private static final double MOVE_SECONDS = 0.1;
    private static final double TAKEOVER_SECONDS = 5;
    private static final String POLICIES = "availability low-churn static greedy";
    private static final List<Integer> SIZES = List.of(4, 12, 48);
    private static final double[] EXPONENTS = {0.9, 1.0, 1.1};

    /** Figures of one run; churn per hour of the trial. */
    private record Figures(
            double mean, double p95, double shareMoved, double moves, double unavailableKeySeconds, int maxRanges) {}

    @Test
    void compare() {
        System.out.println("servers policy seed exponent mean p95 share-moved/h moves/h key-s-unavailable max-ranges");
        List<String> policies =
                List.of(System.getProperty("trial.policies", POLICIES).split(" "));
        String only = System.getProperty("trial.servers", "");
        for (int size : SIZES) {
            for (String policy : only.isEmpty() || only.equals("" + size) ? policies : List.<String>of()) {
                for (int seed = 1; seed <= EXPONENTS.length; seed++) {
                    double exponent = EXPONENTS[seed - 1];
                    Figures f = new PlacementTrial().run(policy, size, seed, exponent);
                    System.out.printf(
                            "%d %s %d %.1f %.3f %.3f %.2f %.0f %.0f %d%n",
                            size,
                            policy,
                            seed,
                            exponent,
                            f.mean,
                            f.p95,
                            f.shareMoved,
                            f.moves,
                            f.unavailableKeySeconds,
                            f.maxRanges);
                }
            }
        }
    }

    private final Map<MemberId, Member> members = new TreeMap<>();
    private final Set<MemberId> gone = new HashSet<>();
    private int nextMember;
    private double shareMoved;
    private double moves;
    private double unavailable;

    private Figures run(String policyName, int size, long seed, double exponent) {
        PlacementPolicy policy = policy(policyName);
        TablePlanner plan = new TablePlanner(policy, 0);
        TrialLoad load = new TrialLoad(seed, exponent, REQUESTS_PER_SERVER * size, KEY_LIMIT * REQUESTS_PER_SERVER);
        for (int i = 0; i < size; i++) {
            join();
        }
        ServicePlanningState track = new ServicePlanningState(TestFleet.SERVICE, 125, 0);
        List<Double> imbalances = new ArrayList<>();
        int maxRanges = 0;
        for (int step = 0; step < STEPS; step++) {
            if (step % STEPS_PER_HOT_SET == 0) {
                load.changeHotKeys();
            }
            if (step > 0 && step % STEPS_PER_EVENT == 0) {
                change(step / STEPS_PER_EVENT);
            }
            load.measure();
            if (step >= WARM_UP_STEPS) {
                imbalances.add(imbalance(track.table(), load));
            }
            decide(plan, track, load, (long) step * STEP_MS);
            maxRanges = Math.max(maxRanges, track.table().assignments().size());
        }
        imbalances.sort(Double::compare);
        double hours = STEPS * STEP_MS / 3_600_000.0;
        double mean = imbalances.stream().mapToDouble(i -> i).average().orElseThrow();
        double p95 = imbalances.get((int) (imbalances.size() * 0.95));
        return new Figures(mean, p95, shareMoved / hours, moves / hours, unavailable / hours, maxRanges);
    }

    /** A registered policy, or one whose name is the list of its rules. */
    private static PlacementPolicy policy(String name) {
        String[] v = name.split(",");
        if (v.length == 1) {
            return PluginRegistry.load().get(PluginRegistry.Kind.PLACEMENT, name);
        }
        return new RebalancePolicy(new RebalanceParameters(
                Double.parseDouble(v[0]),
                Double.parseDouble(v[1]),
                Long.parseLong(v[2]),
                Long.parseLong(v[3]),
                Integer.parseInt(v[4]),
                Integer.parseInt(v[5]),
                Double.parseDouble(v[6]),
                Double.parseDouble(v[7]),
                Double.parseDouble(v[8]),
                Double.parseDouble(v[9])));
    }

    private void join() {
        Member member = TestFleet.member(nextMember++, MemberState.ACTIVE);
        members.put(member.id(), member);
    }

    /** Join, leave, join, death, in turn; the member that goes is the oldest. */
    private void change(int event) {
        if (event % 2 == 1) {
            join();
            return;
        }
        MemberId oldest = members.values().stream()
                .filter(m -> m.state() == MemberState.ACTIVE)
                .findFirst()
                .orElseThrow()
                .id();
        boolean dies = event % 4 == 0;
        members.computeIfPresent(oldest, (id, m) -> m.withState(dies ? MemberState.SEALED : MemberState.LEAVING));
        if (dies) {
            gone.add(oldest);
        }
    }

    private void decide(TablePlanner plan, ServicePlanningState track, TrialLoad load, long nowMs) {
        Map<MemberId, LoadReport> reports = reports(track.table(), load);
        track.updateImbalance(TablePlanner.imbalance(view(track, reports, nowMs)), nowMs);
        Optional<TablePlanner.Decision> decision = plan.decide(view(track, reports, nowMs));
        if (decision.isEmpty()) {
            return;
        }
        track.updateTable(decision.get().table());
        if (decision.get().kind() == TablePlanner.Kind.POLICY) {
            track.recordPolicyChange(nowMs);
        }
        for (TableBuilder.Change change : decision.get().changes()) {
            if (change.from().isPresent()) {
                boolean takeover = decision.get().kind() == TablePlanner.Kind.TAKEOVER;
                moves++;
                shareMoved += change.range().share();
                unavailable += load.keys(change.range()) * (takeover ? TAKEOVER_SECONDS : MOVE_SECONDS);
            }
        }
    }

    private TablePlanner.View view(ServicePlanningState track, Map<MemberId, LoadReport> reports, long nowMs) {
        return new TablePlanner.View(
                TestFleet.configuration(),
                members,
                gone,
                track.table(),
                reports,
                nowMs,
                track.lastChangeMs(),
                track.imbalancedSinceMs(nowMs),
                0);
    }

    private Map<MemberId, LoadReport> reports(AssignmentTable table, TrialLoad load) {
        Map<MemberId, List<RangeLoad>> ranges = new HashMap<>();
        for (RangeAssignment a : table.assignments()) {
            if (!gone.contains(a.owner())) {
                ranges.computeIfAbsent(a.owner(), m -> new ArrayList<>())
                        .add(new RangeLoad(
                                a.range(), a.fence(), true, load.smoothedRate(a.range()), load.hot(a.range())));
            }
        }
        Map<MemberId, LoadReport> reports = new HashMap<>();
        ranges.forEach((member, list) ->
                reports.put(member, new LoadReport(member, TestFleet.SERVICE, table.generation(), list)));
        return reports;
    }

    /** Highest over mean load of the servers that may have ranges, all of the same weight. */
    private double imbalance(AssignmentTable table, TrialLoad load) {
        Map<MemberId, Double> loads = new HashMap<>();
        members.values().stream().filter(m -> m.state() == MemberState.ACTIVE).forEach(m -> loads.put(m.id(), 0.0));
        for (RangeAssignment a : table.assignments()) {
            loads.computeIfPresent(a.owner(), (m, sum) -> sum + load.rate(a.range()));
        }
        double max = loads.values().stream().mapToDouble(l -> l).max().orElseThrow();
        double mean = loads.values().stream().mapToDouble(l -> l).average().orElseThrow();
        return mean > 0 ? max / mean : 1;
    }
}
