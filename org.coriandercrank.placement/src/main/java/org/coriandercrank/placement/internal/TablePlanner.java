package org.coriandercrank.placement.internal;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.FailureDomain;
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
 * Decides on the next assignment table of one service. Stateless and thread safe.
 *
 * <p>The first of these decisions that applies is made: withdrawal of the service, first table, takeover of the ranges
 * of lost owners, or the changes of the placement policy together with the removal of previous owners that no longer
 * hold a range. A takeover changes only the ranges of lost owners. If the host of a lost owner has joined again, its
 * new member gets the ranges back.
 */
public final class TablePlanner {
    /**
     * The input of a decision on one service; all times are monotonic, in milliseconds. Immutable.
     *
     * @param evacuatedDomains failure domains whose members lose their ranges and get no others
     * @param members all known members, of any service
     * @param removed members whose record is sealed or missing in the store
     * @param table current table of the service
     * @param reports latest load report by member
     * @param lastChangeMs time of the last change by the placement policy
     * @param imbalancedSinceMs time since which the imbalance has been above the target without a break; {@code nowMs}
     *     if it is not above it
     * @param candidatesSinceMs time since which the candidates have been the same
     */
    public record Input(
            Configuration configuration,
            Set<FailureDomain> evacuatedDomains,
            Map<MemberId, Member> members,
            Set<MemberId> removed,
            AssignmentTable table,
            Map<MemberId, LoadReport> reports,
            long nowMs,
            long lastChangeMs,
            long imbalancedSinceMs,
            long candidatesSinceMs) {
        public Input {
            evacuatedDomains = ImmutableSet.copyOf(evacuatedDomains);
            members = ImmutableMap.copyOf(members);
            removed = ImmutableSet.copyOf(removed);
            reports = ImmutableMap.copyOf(reports);
        }

        /** Creates an input without evacuated failure domains. */
        public Input(
                Configuration configuration,
                Map<MemberId, Member> members,
                Set<MemberId> removed,
                AssignmentTable table,
                Map<MemberId, LoadReport> reports,
                long nowMs,
                long lastChangeMs,
                long imbalancedSinceMs,
                long candidatesSinceMs) {
            this(
                    configuration,
                    Set.of(),
                    members,
                    removed,
                    table,
                    reports,
                    nowMs,
                    lastChangeMs,
                    imbalancedSinceMs,
                    candidatesSinceMs);
        }

        /** Adds the stored members that a snapshot lacks; they may still hold ranges from before a withdrawal. */
        public Input withStoredMembers(List<Member> storedMembers) {
            Map<MemberId, Member> all = new HashMap<>(members);
            storedMembers.forEach(member -> all.putIfAbsent(member.id(), member));
            return new Input(
                    configuration,
                    evacuatedDomains,
                    all,
                    removed,
                    table,
                    reports,
                    nowMs,
                    lastChangeMs,
                    imbalancedSinceMs,
                    candidatesSinceMs);
        }
    }

    /** The kind of a decision. */
    public enum Kind {
        /** All assignments are removed, because the service is no longer keyed or configured. */
        WITHDRAW,
        /** Ranges are assigned for the first time, or again after a withdrawal. */
        FIRST_TABLE,
        /** The ranges of sealed or deleted owners are assigned to other members. */
        TAKEOVER,
        /** The placement policy changes owners. */
        POLICY,
        /** The first table of an era, in which the store may have lost tables. */
        RECOVERY,
        /** No owner changes; previous owners that no longer hold a range are removed, or ranges are merged. */
        CLEAR
    }

    /** The next table and the changes of owners in it. Immutable. */
    public record Decision(Kind kind, AssignmentTable table, List<TableBuilder.Change> changes) {
        public Decision {
            changes = List.copyOf(changes);
        }
    }

    private static final String OWNER_LOST_REASON = "owner-lost";
    private static final String OWNER_RESTARTED_REASON = "owner-restarted";

    private final PlacementPolicy policy;
    private final long firstTableDelayMs;

    /** @param firstTableDelayMs how long the candidates must stay the same before the first table of a service */
    public TablePlanner(PlacementPolicy policy, long firstTableDelayMs) {
        this.policy = policy;
        this.firstTableDelayMs = firstTableDelayMs;
    }

    /** The members that ranges of the service may be assigned to, sorted by id. */
    public static List<Member> candidates(Input input) {
        return input.members().values().stream()
                .filter(member ->
                        member.state() == MemberState.ACTIVE && !input.removed().contains(member.id()))
                .filter(member -> !input.evacuatedDomains().contains(member.failureDomain()))
                .filter(member -> serves(member, input.table())
                        && !input.configuration()
                                .isDraining(member.backend().orElseThrow().name())
                        && ServerWeights.of(input.configuration(), member) > 0)
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .toList();
    }

    private static boolean serves(Member member, AssignmentTable table) {
        return member.backend()
                .map(backend -> backend.service().equals(table.service()))
                .orElse(false);
    }

    /** Decides on the next table; empty if the current table needs no change. */
    public Optional<Decision> decide(Input input) {
        AssignmentTable table = input.table();
        Optional<ServiceConfig> serviceConfig =
                input.configuration().service(table.service()).filter(ServiceConfig::keyed);
        if (serviceConfig.isEmpty()) {
            return table.assignments().isEmpty()
                    ? Optional.empty()
                    : Optional.of(withdraw(table, table.generation().era()));
        }
        List<Member> candidates = candidates(input);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (table.assignments().isEmpty() && input.nowMs() - input.candidatesSinceMs() < firstTableDelayMs) {
            return Optional.empty();
        }
        List<RangeAssignment> current =
                TableBuilder.clearPreviousOwners(table, input.removed()::contains, input.reports());
        List<PlacedRange> wanted = validated(
                RangeAlignment.align(
                        policy.place(policyInput(input, candidates, current)),
                        serviceConfig.get().keySpaceBits()),
                candidates);
        boolean ownerLost = table.assignments().stream()
                .anyMatch(assignment -> input.removed().contains(assignment.owner()));
        if (ownerLost) {
            return decisionIfChanged(input, Kind.TAKEOVER, current, takeoverRanges(input, current, wanted));
        }
        Kind kind = table.assignments().isEmpty() ? Kind.FIRST_TABLE : Kind.POLICY;
        return decisionIfChanged(input, kind, current, wanted);
    }

    /**
     * Decides on the first table of an era; empty if there is nothing to assign, or no candidate yet.
     *
     * @param input its table is the newest one known, of an earlier era
     */
    public Optional<Decision> recover(Input input, RecoveryTable.Input recovery) {
        AssignmentTable table = input.table();
        Optional<ServiceConfig> serviceConfig =
                input.configuration().service(table.service()).filter(ServiceConfig::keyed);
        if (serviceConfig.isEmpty()) {
            return table.assignments().isEmpty() ? Optional.empty() : Optional.of(withdraw(table, recovery.era()));
        }
        List<Member> all = candidates(input);
        List<Member> reported = all.stream()
                .filter(member -> recovery.reports().containsKey(member.id()))
                .toList();
        List<Member> candidates = reported.isEmpty() ? all : reported;
        boolean first = table.assignments().isEmpty()
                && RecoveryTable.heldAssignments(recovery).isEmpty();
        if (candidates.isEmpty() || (first && input.nowMs() - input.candidatesSinceMs() < firstTableDelayMs)) {
            return Optional.empty();
        }
        List<PlacedRange> placed = validated(
                RangeAlignment.align(
                        policy.place(policyInput(input, candidates, List.of())),
                        serviceConfig.get().keySpaceBits()),
                candidates);
        return Optional.of(RecoveryTable.build(recovery, placed));
    }

    private static Decision withdraw(AssignmentTable table, Era era) {
        Generation next = table.generation().next(era);
        return new Decision(Kind.WITHDRAW, new AssignmentTable(table.service(), next, List.of()), List.of());
    }

    private static PlacementInput policyInput(Input input, List<Member> candidates, List<RangeAssignment> current) {
        Map<MemberId, List<RangeLoad>> loads = new HashMap<>();
        input.reports().forEach((member, report) -> loads.put(member, report.ranges()));
        return new PlacementInput(
                input.configuration(),
                candidates,
                new AssignmentTable(input.table().service(), input.table().generation(), current),
                loads,
                input.nowMs(),
                input.lastChangeMs(),
                input.imbalancedSinceMs());
    }

    /** Validates the output of a policy before it is written to the store, because policies are plug-ins. */
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
                throw new IllegalStateException(
                        "policy returned a range that leaves a gap, overlaps or has an owner that is not a candidate: "
                                + placedRange);
            }
            expected = KeyRanges.next(placedRange.range().last());
        }
        if (placed.isEmpty()) {
            throw new IllegalStateException("policy returned no ranges although there are candidates");
        }
        return placed;
    }

    /** Keeps the ranges of other owners, and assigns those of lost owners to their restarted members or as wanted. */
    private static List<PlacedRange> takeoverRanges(
            Input input, List<RangeAssignment> current, List<PlacedRange> wanted) {
        List<PlacedRange> result = new ArrayList<>();
        for (RangeAssignment assignment : current) {
            if (!input.removed().contains(assignment.owner())) {
                result.add(new PlacedRange(assignment.range(), assignment.owner(), WorkingTable.KEPT));
                continue;
            }
            Optional<MemberId> restarted = restartedMember(input, assignment.owner());
            if (restarted.isPresent()) {
                result.add(new PlacedRange(assignment.range(), restarted.get(), OWNER_RESTARTED_REASON));
                continue;
            }
            for (PlacedRange placedRange : wanted) {
                Optional<KeyRange> intersection = KeyRanges.intersect(placedRange.range(), assignment.range());
                intersection.ifPresent(
                        range -> result.add(new PlacedRange(range, placedRange.owner(), OWNER_LOST_REASON)));
            }
        }
        return result;
    }

    /** The candidate that has the peer address of a lost member, so that it runs on the same host. */
    private static Optional<MemberId> restartedMember(Input input, MemberId lost) {
        Member lostMember = input.members().get(lost);
        if (lostMember == null) {
            return Optional.empty();
        }
        return candidates(input).stream()
                .filter(member -> member.peerAddress().equals(lostMember.peerAddress()))
                .map(Member::id)
                .findFirst();
    }

    private static Optional<Decision> decisionIfChanged(
            Input input, Kind kind, List<RangeAssignment> current, List<PlacedRange> wanted) {
        AssignmentTable table = input.table();
        TableBuilder.Result result =
                TableBuilder.build(table, current, wanted, input.removed()::contains, potentialHolders(input));
        if (result.table().assignments().equals(table.assignments())) {
            return Optional.empty();
        }
        Kind actual = result.changes().isEmpty() ? Kind.CLEAR : kind;
        return Optional.of(new Decision(actual, result.table(), result.changes()));
    }

    /**
     * Members that may still serve hashes that the table assigns to no member, as after a withdrawal. These are all
     * members of the service that have not reported, for the current table, that they serve no ranges.
     */
    private static Set<MemberId> potentialHolders(Input input) {
        Set<MemberId> holders = new HashSet<>();
        if (input.table().generation().equals(Generation.NONE)) {
            return holders;
        }
        for (Member member : input.members().values()) {
            LoadReport report = input.reports().get(member.id());
            boolean releasedAll = report != null
                    && report.ranges().isEmpty()
                    && report.tableGeneration().compareTo(input.table().generation()) >= 0;
            if (serves(member, input.table()) && !releasedAll) {
                holders.add(member.id());
            }
        }
        return holders;
    }

    /** The load of the most loaded candidate over its fair load; 0 if there is no candidate or no assignment. */
    public static double imbalance(Input input) {
        List<Member> candidates = candidates(input);
        if (candidates.isEmpty() || input.table().assignments().isEmpty()) {
            return 0;
        }
        WorkingTable table =
                new WorkingTable(policyInput(input, candidates, input.table().assignments()));
        return table.weights().keySet().stream()
                .mapToDouble(table::loadRatio)
                .max()
                .orElse(0);
    }
}
