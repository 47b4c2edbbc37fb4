package org.coriandercrank.placement.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.placement.PlacementInput;
import org.coriandercrank.kernel.placement.PlacementPolicy;

/**
 * Moves load from the most to the least loaded server by the cheapest moves, within {@link RebalanceRules}.
 *
 * <p>Stateless and thread safe. The table stays within {@link TableCompaction#MAX_RANGES_PER_MEMBER} ranges per
 * candidate on average, provided that it was within it.
 */
public final class RebalancePolicy implements PlacementPolicy {
    private final RebalanceRules rules;

    public RebalancePolicy(RebalanceRules rules) {
        this.rules = rules;
    }

    @Override
    public List<PlacedRange> place(PlacementInput input) {
        Map<MemberId, Double> weights = ServerWeights.of(input);
        if (weights.isEmpty()) {
            return List.of();
        }
        if (input.table().assignments().isEmpty()) {
            return EvenSplit.place(weights);
        }
        WorkingTable table = new WorkingTable(input);
        EvenSplit.reassignOrphans(table, "owner-leaves");
        if (input.nowMs() - input.lastChangeMs() >= rules.minIntervalMs()) {
            Set<MemberId> busy = new HashSet<>();
            Map<MemberId, Integer> moves = new HashMap<>();
            fill(table, moves, busy);
            if (input.nowMs() - input.imbalancedSinceMs() >= rules.lastingMs()) {
                rebalance(table, moves);
            }
        }
        TableCompaction.compact(table);
        return table.toPlaced();
    }

    /** Gives hash space to servers that have far less than their share, as after a join. */
    private void fill(WorkingTable table, Map<MemberId, Integer> moves, Set<MemberId> full) {
        for (int i = 0; i < rules.maxMoves(); i++) {
            Optional<MemberId> poorest = table.weights().keySet().stream()
                    .filter(m -> !full.contains(m) && shareRatio(table, m) < rules.fillBelow())
                    .filter(m -> moves.getOrDefault(m, 0) < rules.maxMovesPerServer())
                    .min(Comparator.comparingDouble(m -> shareRatio(table, m)));
            if (poorest.isEmpty()) {
                return;
            }
            Optional<MoveSearch.Move> move = MoveSearch.fill(table, poorest.get(), m -> mayMove(moves, m));
            if (move.isEmpty()) {
                full.add(poorest.get());
                continue;
            }
            apply(table, move.get(), "server-joins", moves);
        }
    }

    private static double shareRatio(WorkingTable table, MemberId member) {
        return table.share(member) / table.fairShare(member);
    }

    private void rebalance(WorkingTable table, Map<MemberId, Integer> moves) {
        double highest = table.weights().keySet().stream()
                .mapToDouble(table::ratio)
                .max()
                .orElse(0);
        if (highest <= rules.highMark() || !table.isLoadSignificant()) {
            return;
        }
        Set<MemberId> stuck = new HashSet<>();
        for (int i = 0; i < rules.maxMoves(); i++) {
            Optional<MemberId> source = table.weights().keySet().stream()
                    .filter(m -> !stuck.contains(m) && mayMove(moves, m))
                    .max(Comparator.comparingDouble(table::ratio));
            if (source.isEmpty() || table.ratio(source.get()) <= rules.lowMark()) {
                return;
            }
            Optional<MoveSearch.Move> move = MoveSearch.relieve(table, source.get(), rules, m -> mayMove(moves, m));
            if (move.isEmpty()) {
                stuck.add(source.get());
                continue;
            }
            apply(table, move.get(), move.get().isHotHash() ? "hot-key" : "load", moves);
        }
    }

    private boolean mayMove(Map<MemberId, Integer> moves, MemberId member) {
        return moves.getOrDefault(member, 0) < rules.maxMovesPerServer();
    }

    private static void apply(WorkingTable table, MoveSearch.Move move, String reason, Map<MemberId, Integer> moves) {
        MemberId source = table.slots().get(move.slot()).owner();
        moves.merge(source, 1, Integer::sum);
        moves.merge(move.target(), 1, Integer::sum);
        int index = table.split(move.slot(), move.parts());
        table.assign(index + move.movedPart(), move.target(), reason);
    }
}
