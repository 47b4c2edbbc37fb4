package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.placement.PlacementInput;
import org.coriandercrank.kernel.placement.PlacementPolicy;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;

/**
 * Decides on the next table of one service. Stateless and thread safe.
 *
 * <p>Order of decisions: withdrawal, first table, takeover from lost owners, then the policy together with the
 * clearing of previous owners. A takeover changes only ranges of lost owners. The ranges of a lost owner whose host has
 * joined again go back to it.
 */
public final class TablePlanner {
    /**
     * What is known of a service. Immutable.
     *
     * @param members all known members
     * @param removed members that are certainly sealed or deleted
     * @param reports latest load report by member
     * @param candidatesSinceMs monotonic time since which the candidates are the same
     */
    public record View(
            Configuration configuration,
            Map<MemberId, Member> members,
            Set<MemberId> removed,
            AssignmentTable table,
            Map<MemberId, LoadReport> reports,
            long nowMs,
            long lastChangeMs,
            long imbalancedSinceMs,
            long candidatesSinceMs) {
        public View {
            members = Map.copyOf(members);
            removed = Set.copyOf(removed);
            reports = Map.copyOf(reports);
        }
    }

    /** A kind of change of a table. */
    public enum Kind {
        WITHDRAW,
        FIRST_TABLE,
        TAKEOVER,
        POLICY,
        CLEAR
    }

    /** The next table and what changes. Immutable. */
    public record Decision(Kind kind, AssignmentTable table, List<TableBuilder.Change> changes) {
        public Decision {
            changes = List.copyOf(changes);
        }
    }

    private static final String OWNER_LOST_REASON = "owner-lost";
    private static final String OWNER_RESTARTED_REASON = "owner-restarted";

    private final PlacementPolicy policy;
    private final long firstTableDelayMs;

    public TablePlanner(PlacementPolicy policy, long firstTableDelayMs) {
        this.policy = policy;
        this.firstTableDelayMs = firstTableDelayMs;
    }

    /** The members that may get ranges of a service, sorted by id. */
    public static List<Member> candidates(View view) {
        return view.members().values().stream()
                .filter(member ->
                        member.state() == MemberState.ACTIVE && !view.removed().contains(member.id()))
                .filter(member -> serves(member, view.table())
                        && !view.configuration()
                                .isDraining(member.backend().orElseThrow().name())
                        && ServerWeights.of(view.configuration(), member) > 0)
                .sorted((assignment, backend) -> assignment.id().compareTo(backend.id()))
                .toList();
    }

    private static boolean serves(Member member, AssignmentTable table) {
        return member.backend()
                .map(backend -> backend.service().equals(table.service()))
                .orElse(false);
    }

    /** The next table, or empty if the present one stands. */
    public Optional<Decision> decide(View view) {
        AssignmentTable table = view.table();
        Optional<ServiceConfig> serviceConfig =
                view.configuration().service(table.service()).filter(ServiceConfig::keyed);
        if (serviceConfig.isEmpty()) {
            return table.assignments().isEmpty() ? Optional.empty() : Optional.of(withdraw(table));
        }
        List<Member> candidates = candidates(view);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (table.assignments().isEmpty() && view.nowMs() - view.candidatesSinceMs() < firstTableDelayMs) {
            return Optional.empty();
        }
        List<RangeAssignment> current =
                TableBuilder.clearPreviousOwners(table, view.removed()::contains, view.reports());
        List<PlacedRange> wanted = validated(
                RangeAlignment.align(
                        policy.place(policyInput(view, candidates, current)),
                        serviceConfig.get().keySpaceBits()),
                candidates);
        boolean ownerLost = table.assignments().stream()
                .anyMatch(assignment -> view.removed().contains(assignment.owner()));
        if (ownerLost) {
            return decisionIfChanged(view, Kind.TAKEOVER, current, takeoverRanges(view, current, wanted));
        }
        Kind kind = table.assignments().isEmpty() ? Kind.FIRST_TABLE : Kind.POLICY;
        return decisionIfChanged(view, kind, current, wanted);
    }

    private static Decision withdraw(AssignmentTable table) {
        Generation next = new Generation(table.generation().value() + 1);
        return new Decision(Kind.WITHDRAW, new AssignmentTable(table.service(), next, List.of()), List.of());
    }

    private static PlacementInput policyInput(View view, List<Member> candidates, List<RangeAssignment> current) {
        Map<MemberId, List<RangeLoad>> loads = new HashMap<>();
        view.reports().forEach((member, report) -> loads.put(member, report.ranges()));
        return new PlacementInput(
                view.configuration(),
                candidates,
                new AssignmentTable(view.table().service(), view.table().generation(), current),
                loads,
                view.nowMs(),
                view.lastChangeMs(),
                view.imbalancedSinceMs());
    }

    /** Policies are plug-ins, so their output is checked before it can reach the store. */
    private static List<PlacedRange> validated(List<PlacedRange> placed, List<Member> candidates) {
        Set<MemberId> allowed = new HashSet<>();
        candidates.forEach(member -> allowed.add(member.id()));
        KeyHash expected = KeyHash.MIN;
        for (int i = 0; i < placed.size(); i++) {
            PlacedRange placedRange = placed.get(i);
            boolean last = i == placed.size() - 1;
            if (!placedRange.range().first().equals(expected)
                    || last != placedRange.range().last().equals(KeyHash.MAX)
                    || !allowed.contains(placedRange.owner())) {
                throw new IllegalStateException("policy placed an invalid range: " + placedRange);
            }
            expected = KeyRanges.next(placedRange.range().last());
        }
        if (placed.isEmpty()) {
            throw new IllegalStateException("policy placed nothing although there are candidates");
        }
        return placed;
    }

    private static List<PlacedRange> takeoverRanges(
            View view, List<RangeAssignment> current, List<PlacedRange> wanted) {
        List<PlacedRange> result = new ArrayList<>();
        for (RangeAssignment assignment : current) {
            if (!view.removed().contains(assignment.owner())) {
                result.add(new PlacedRange(assignment.range(), assignment.owner(), WorkingTable.KEPT));
                continue;
            }
            Optional<MemberId> successor = restartedMember(view, assignment.owner());
            if (successor.isPresent()) {
                result.add(new PlacedRange(assignment.range(), successor.get(), OWNER_RESTARTED_REASON));
                continue;
            }
            for (PlacedRange placedRange : wanted) {
                Optional<KeyRange> common = KeyRanges.intersect(placedRange.range(), assignment.range());
                common.ifPresent(range -> result.add(new PlacedRange(range, placedRange.owner(), OWNER_LOST_REASON)));
            }
        }
        return result;
    }

    /** The candidate at the address of a lost member. */
    private static Optional<MemberId> restartedMember(View view, MemberId lost) {
        Member lostMember = view.members().get(lost);
        if (lostMember == null) {
            return Optional.empty();
        }
        return candidates(view).stream()
                .filter(member -> member.peerAddress().equals(lostMember.peerAddress()))
                .map(Member::id)
                .findFirst();
    }

    private static Optional<Decision> decisionIfChanged(
            View view, Kind kind, List<RangeAssignment> current, List<PlacedRange> wanted) {
        AssignmentTable table = view.table();
        TableBuilder.Result result =
                TableBuilder.build(table, current, wanted, view.removed()::contains, potentialHolders(view));
        if (result.table().assignments().equals(table.assignments())) {
            return Optional.empty();
        }
        Kind actual = result.changes().isEmpty() ? Kind.CLEAR : kind;
        return Optional.of(new Decision(actual, result.table(), result.changes()));
    }

    /**
     * Members that may still serve hashes which the table assigns to nobody, as after a withdrawal: all of the service
     * that have not reported that they gave up everything.
     */
    private static Set<MemberId> potentialHolders(View view) {
        Set<MemberId> holders = new HashSet<>();
        if (view.table().generation().equals(Generation.NONE)) {
            return holders;
        }
        for (Member member : view.members().values()) {
            LoadReport report = view.reports().get(member.id());
            boolean releasedAll = report != null
                    && report.ranges().isEmpty()
                    && report.tableGeneration().compareTo(view.table().generation()) >= 0;
            if (serves(member, view.table()) && !releasedAll) {
                holders.add(member.id());
            }
        }
        return holders;
    }

    /** Highest load over fair load of the candidates; 0 without load. */
    public static double imbalance(View view) {
        List<Member> candidates = candidates(view);
        if (candidates.isEmpty() || view.table().assignments().isEmpty()) {
            return 0;
        }
        WorkingTable table =
                new WorkingTable(policyInput(view, candidates, view.table().assignments()));
        return table.weights().keySet().stream()
                .mapToDouble(table::loadRatio)
                .max()
                .orElse(0);
    }
}
