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
 * Compares the placement policies on a deterministic simulated workload. This is not a test, and its name excludes it
 * from the build. Run it with {@code -Dtest=PlacementTrial}; {@code -Dtrial.servers} restricts it to one number of
 * servers and {@code -Dtrial.policies} to some policies.
 *
 * <p>The simulation makes one decision per round of load reports, every 2 s. The hottest keys change every minute, and
 * every 5 minutes a server joins, leaves or is lost. A planned move makes the moved keys unavailable for 0.1 s and a
 * takeover for 5 s.
 */
final class PlacementTrial {
    private static final int STEP_MS = 2_000;
    private static final int STEPS = 1_800;
    private static final int STEPS_PER_HOT_KEY_CHANGE = 30;
    private static final int STEPS_PER_MEMBER_CHANGE = 150;
    private static final int WARM_UP_STEPS = 15;
    private static final double REQUESTS_PER_SECOND_PER_SERVER = 500;
    private static final double MAX_KEY_LOAD_RATIO = 0.8;
    private static final double MOVE_UNAVAILABLE_SECONDS = 0.1;
    private static final double TAKEOVER_UNAVAILABLE_SECONDS = 5;
    private static final String POLICIES = "availability low-churn static greedy";
    private static final List<Integer> SIZES = List.of(4, 12, 48);
    private static final double[] EXPONENTS = {0.9, 1.0, 1.1};

    /** Results of one run; moves and unavailability per hour of simulated time. */
    private record RunResult(
            double mean, double p95, double shareMoved, double moves, double unavailableKeySeconds, int maxRanges) {}

    @Test
    void compare() {
        System.out.println("servers policy seed exponent mean p95 share-moved/h moves/h key-s-unavailable max-ranges");
        List<String> policies =
                List.of(System.getProperty("trial.policies", POLICIES).split(" "));
        String onlySize = System.getProperty("trial.servers", "");
        for (int size : SIZES) {
            for (String policy : onlySize.isEmpty() || onlySize.equals("" + size) ? policies : List.<String>of()) {
                for (int seed = 1; seed <= EXPONENTS.length; seed++) {
                    double exponent = EXPONENTS[seed - 1];
                    RunResult result = new PlacementTrial().run(policy, size, seed, exponent);
                    System.out.printf(
                            "%d %s %d %.1f %.3f %.3f %.2f %.0f %.0f %d%n",
                            size,
                            policy,
                            seed,
                            exponent,
                            result.mean,
                            result.p95,
                            result.shareMoved,
                            result.moves,
                            result.unavailableKeySeconds,
                            result.maxRanges);
                }
            }
        }
    }

    private final Map<MemberId, Member> members = new TreeMap<>();
    private final Set<MemberId> removed = new HashSet<>();
    private int nextMember;
    private double shareMoved;
    private double moves;
    private double unavailableKeySeconds;

    private RunResult run(String policyName, int size, long seed, double exponent) {
        PlacementPolicy policy = policy(policyName);
        TablePlanner planner = new TablePlanner(policy, 0);
        TrialLoad load = new TrialLoad(
                seed,
                exponent,
                REQUESTS_PER_SECOND_PER_SERVER * size,
                MAX_KEY_LOAD_RATIO * REQUESTS_PER_SECOND_PER_SERVER);
        for (int i = 0; i < size; i++) {
            join();
        }
        ServicePlanningState state = new ServicePlanningState(TestFleet.SERVICE, /* imbalanceTargetPercent= */ 125, 0);
        List<Double> imbalances = new ArrayList<>();
        int maxRanges = 0;
        for (int step = 0; step < STEPS; step++) {
            if (step % STEPS_PER_HOT_KEY_CHANGE == 0) {
                load.changeHotKeys();
            }
            if (step > 0 && step % STEPS_PER_MEMBER_CHANGE == 0) {
                changeMembers(step / STEPS_PER_MEMBER_CHANGE);
            }
            load.measure();
            if (step >= WARM_UP_STEPS) {
                imbalances.add(imbalance(state.table(), load));
            }
            decide(planner, state, load, (long) step * STEP_MS);
            maxRanges = Math.max(maxRanges, state.table().assignments().size());
        }
        imbalances.sort(Double::compare);
        double hours = STEPS * STEP_MS / 3_600_000.0;
        double mean = imbalances.stream().mapToDouble(i -> i).average().orElseThrow();
        double p95 = imbalances.get((int) (imbalances.size() * 0.95));
        return new RunResult(mean, p95, shareMoved / hours, moves / hours, unavailableKeySeconds / hours, maxRanges);
    }

    /** A registered policy, or a {@link RebalancePolicy} if the name is a comma-separated list of its parameters. */
    private static PlacementPolicy policy(String name) {
        String[] values = name.split(",");
        if (values.length == 1) {
            return PluginRegistry.load().get(PluginRegistry.Kind.PLACEMENT, name);
        }
        return new RebalancePolicy(new RebalanceParameters(
                Double.parseDouble(values[0]),
                Double.parseDouble(values[1]),
                Long.parseLong(values[2]),
                Long.parseLong(values[3]),
                Integer.parseInt(values[4]),
                Integer.parseInt(values[5]),
                Double.parseDouble(values[6]),
                Double.parseDouble(values[7]),
                Double.parseDouble(values[8]),
                Double.parseDouble(values[9])));
    }

    private void join() {
        Member member = TestFleet.member(nextMember++, MemberState.ACTIVE);
        members.put(member.id(), member);
    }

    /** Alternates joining, leaving, joining and losing a server; the oldest active server leaves or is lost. */
    private void changeMembers(int event) {
        if (event % 2 == 1) {
            join();
            return;
        }
        MemberId oldest = members.values().stream()
                .filter(m -> m.state() == MemberState.ACTIVE)
                .findFirst()
                .orElseThrow()
                .id();
        boolean isLost = event % 4 == 0;
        members.computeIfPresent(oldest, (id, m) -> m.withState(isLost ? MemberState.SEALED : MemberState.LEAVING));
        if (isLost) {
            removed.add(oldest);
        }
    }

    private void decide(TablePlanner planner, ServicePlanningState state, TrialLoad load, long nowMs) {
        Map<MemberId, LoadReport> reports = reports(state.table(), load);
        state.updateImbalance(TablePlanner.imbalance(planningInput(state, reports, nowMs)), nowMs);
        Optional<TablePlanner.Decision> decision = planner.decide(planningInput(state, reports, nowMs));
        if (decision.isEmpty()) {
            return;
        }
        state.updateTable(decision.get().table());
        if (decision.get().kind() == TablePlanner.Kind.POLICY) {
            state.recordPolicyChange(nowMs);
        }
        for (TableBuilder.Change change : decision.get().changes()) {
            if (change.from().isPresent()) {
                boolean takeover = decision.get().kind() == TablePlanner.Kind.TAKEOVER;
                moves++;
                shareMoved += change.range().share();
                unavailableKeySeconds += load.keyCount(change.range())
                        * (takeover ? TAKEOVER_UNAVAILABLE_SECONDS : MOVE_UNAVAILABLE_SECONDS);
            }
        }
    }

    private TablePlanner.Input planningInput(
            ServicePlanningState state, Map<MemberId, LoadReport> reports, long nowMs) {
        return new TablePlanner.Input(
                TestFleet.configuration(),
                members,
                removed,
                state.table(),
                reports,
                nowMs,
                state.lastChangeMs(),
                state.imbalancedSinceMs(nowMs),
                0);
    }

    private Map<MemberId, LoadReport> reports(AssignmentTable table, TrialLoad load) {
        Map<MemberId, List<RangeLoad>> ranges = new HashMap<>();
        for (RangeAssignment assignment : table.assignments()) {
            if (!removed.contains(assignment.owner())) {
                ranges.computeIfAbsent(assignment.owner(), m -> new ArrayList<>())
                        .add(new RangeLoad(
                                assignment.range(),
                                assignment.fence(),
                                true,
                                load.smoothedRate(assignment.range()),
                                load.hottest(assignment.range())));
            }
        }
        Map<MemberId, LoadReport> reports = new HashMap<>();
        ranges.forEach((member, list) ->
                reports.put(member, new LoadReport(member, TestFleet.SERVICE, table.generation(), list)));
        return reports;
    }

    /** The highest over the mean load of the active servers, which all have the same weight. */
    private double imbalance(AssignmentTable table, TrialLoad load) {
        Map<MemberId, Double> loads = new HashMap<>();
        members.values().stream().filter(m -> m.state() == MemberState.ACTIVE).forEach(m -> loads.put(m.id(), 0.0));
        for (RangeAssignment assignment : table.assignments()) {
            loads.computeIfPresent(assignment.owner(), (m, sum) -> sum + load.rate(assignment.range()));
        }
        double max = loads.values().stream().mapToDouble(l -> l).max().orElseThrow();
        double mean = loads.values().stream().mapToDouble(l -> l).average().orElseThrow();
        return mean > 0 ? max / mean : 1;
    }
}
