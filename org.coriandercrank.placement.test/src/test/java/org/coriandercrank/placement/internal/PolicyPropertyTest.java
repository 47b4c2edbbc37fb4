package org.coriandercrank.placement.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.coriandercrank.kernel.config.BackendRule;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.placement.TestFleet;

/** Properties of each registered policy under random load and membership changes. */
final class PolicyPropertyTest {
    private static final int MAX_RANGES_PER_MEMBER = 16;

    /**
     * Guards against invalid tables, tables that grow without bound, ranges assigned to servers that are not
     * candidates, and takeovers that move ranges of members that are not lost. TablePlanner throws if a policy leaves a
     * gap.
     */
    @Property(tries = 60)
    void tablesStayValidAndBounded(@ForAll long seed, @ForAll @IntRange(min = 0, max = 3) int policyIndex) {
        PluginRegistry registry = PluginRegistry.load();
        String name = List.copyOf(registry.names(PluginRegistry.Kind.PLACEMENT)).get(policyIndex);
        TablePlanner planner = new TablePlanner(registry.get(PluginRegistry.Kind.PLACEMENT, name), 0);
        Random random = new Random(seed);
        Map<MemberId, Member> members = new HashMap<>();
        Set<MemberId> removed = new HashSet<>();
        AssignmentTable table = AssignmentTable.empty(TestFleet.SERVICE);
        int maxCandidates = 0;
        for (int step = 0; step < 120; step++) {
            changeMembers(random, members, removed);
            Configuration configuration = TestFleet.configuration(
                    new BackendRule("server-001", random.nextInt(3) * 100, random.nextInt(10) == 0));
            TablePlanner.Input input = new TablePlanner.Input(
                    configuration, members, removed, table, reports(random, table, removed), step * 20_000L, 0, 0, 0);
            maxCandidates =
                    Math.max(maxCandidates, TablePlanner.candidates(input).size());
            Optional<TablePlanner.Decision> decision = planner.decide(input);
            if (decision.isEmpty()) {
                continue;
            }
            OwnershipChecks.assertValidTransition(table, decision.get(), removed);
            List<MemberId> allowed =
                    TablePlanner.candidates(input).stream().map(Member::id).toList();
            decision.get().changes().forEach(c -> assertThat(allowed).contains(c.to()));
            table = decision.get().table();
            assertThat(table.assignments().size())
                    .as("policy %s seed %d step %d", name, seed, step)
                    .isLessThanOrEqualTo(MAX_RANGES_PER_MEMBER * maxCandidates);
        }
    }

    private static void changeMembers(Random random, Map<MemberId, Member> members, Set<MemberId> removed) {
        List<MemberId> active = members.values().stream()
                .filter(m -> m.state() == MemberState.ACTIVE)
                .map(Member::id)
                .sorted()
                .toList();
        if (active.size() < 3 || (random.nextInt(10) == 0 && active.size() < 10)) {
            Member member = TestFleet.member(members.size(), MemberState.ACTIVE);
            members.put(member.id(), member);
        } else if (random.nextInt(10) == 0) {
            MemberId id = active.get(random.nextInt(active.size()));
            MemberState state = random.nextBoolean() ? MemberState.SEALED : MemberState.LEAVING;
            members.computeIfPresent(id, (k, m) -> m.withState(state));
            if (state == MemberState.SEALED) {
                removed.add(id);
            }
        }
    }

    private static Map<MemberId, LoadReport> reports(Random random, AssignmentTable table, Set<MemberId> removed) {
        Map<MemberId, List<RangeLoad>> loads = new HashMap<>();
        for (RangeAssignment assignment : table.assignments()) {
            double evenLoad = random.nextInt(20) == 0 ? 500 : random.nextInt(20);
            long width = assignment.range().last().value()
                    - assignment.range().first().value();
            KeyHash hash = new KeyHash(assignment.range().first().value()
                    + Long.remainderUnsigned(random.nextLong(), width == -1 ? width : width + 1));
            double hotLoad = random.nextInt(4) == 0 ? random.nextInt(300) : 0;
            loads.computeIfAbsent(assignment.owner(), m -> new ArrayList<>())
                    .add(new RangeLoad(
                            assignment.range(),
                            assignment.fence(),
                            random.nextInt(4) > 0,
                            evenLoad + hotLoad,
                            List.of(new RangeLoad.HotHash(hash, hotLoad))));
        }
        Map<MemberId, LoadReport> reports = new HashMap<>();
        loads.forEach((m, list) -> {
            if (!removed.contains(m)) {
                reports.put(m, new LoadReport(m, TestFleet.SERVICE, table.generation(), list));
            }
        });
        return reports;
    }
}
