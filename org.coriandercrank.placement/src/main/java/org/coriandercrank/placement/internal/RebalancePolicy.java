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
 * Moves load from the most to the least loaded servers by the moves with the best gain for their cost, within the
 * bounds of {@link RebalanceParameters}.
 *
 * <p>Stateless and thread safe. A table with at most {@link TableCompaction#MAX_RANGES_PER_MEMBER} ranges per candidate
 * on average stays within this bound.
 */
public final class RebalancePolicy implements PlacementPolicy {
    private final RebalanceParameters parameters;

    public RebalancePolicy(RebalanceParameters parameters) {
        this.parameters = parameters;
    }

    @Override
    public List<PlacedRange> place(PlacementInput input) {
        Map<MemberId, Double> weights = ServerWeights.of(input);
        if (weights.isEmpty()) {
            return List.of();
        }
        if (input.table().assignments().isEmpty()) {
            return WeightedPlacement.place(weights);
        }
        WorkingTable table = new WorkingTable(input);
        WeightedPlacement.reassignOrphans(table, "owner-leaves");
        if (input.nowMs() - input.lastChangeMs() >= parameters.minIntervalMs()) {
            Set<MemberId> unfillable = new HashSet<>();
            Map<MemberId, Integer> moves = new HashMap<>();
            fillUnderloaded(table, moves, unfillable);
            if (input.nowMs() - input.imbalancedSinceMs() >= parameters.minImbalanceDurationMs()) {
                rebalance(table, moves);
            }
        }
        TableCompaction.compact(table);
        return table.toPlacedRanges();
    }

    /** Moves hash space to servers that have far less than their fair share, such as servers that have just joined. */
    private void fillUnderloaded(WorkingTable table, Map<MemberId, Integer> moves, Set<MemberId> unfillable) {
        for (int i = 0; i < parameters.maxMoves(); i++) {
            Optional<MemberId> smallest = table.weights().keySet().stream()
                    .filter(m -> !unfillable.contains(m) && shareRatio(table, m) < parameters.fillThreshold())
                    .filter(m -> moves.getOrDefault(m, 0) < parameters.maxMovesPerServer())
                    .min(Comparator.comparingDouble(m -> shareRatio(table, m)));
            if (smallest.isEmpty()) {
                return;
            }
            Optional<MoveSearch.Move> move = MoveSearch.findMoveTo(table, smallest.get(), m -> mayMove(moves, m));
            if (move.isEmpty()) {
                unfillable.add(smallest.get());
                continue;
            }
            applyMove(table, move.get(), "server-joins", moves);
        }
    }

    /** Share of the hash space of a member over its fair share. */
    private static double shareRatio(WorkingTable table, MemberId member) {
        return table.share(member) / table.fairShare(member);
    }

    /**
     * If a server is above the high watermark, moves load from the most loaded servers until none is above the low
     * watermark or the bounds on moves are reached.
     */
    private void rebalance(WorkingTable table, Map<MemberId, Integer> moves) {
        double highestRatio = table.weights().keySet().stream()
                .mapToDouble(table::loadRatio)
                .max()
                .orElse(0);
        if (highestRatio <= parameters.highWatermark() || !table.isLoadSignificant()) {
            return;
        }
        Set<MemberId> withoutMove = new HashSet<>();
        for (int i = 0; i < parameters.maxMoves(); i++) {
            Optional<MemberId> source = table.weights().keySet().stream()
                    .filter(m -> !withoutMove.contains(m) && mayMove(moves, m))
                    .max(Comparator.comparingDouble(table::loadRatio));
            if (source.isEmpty() || table.loadRatio(source.get()) <= parameters.lowWatermark()) {
                return;
            }
            Optional<MoveSearch.Move> move =
                    MoveSearch.findMoveFrom(table, source.get(), parameters, m -> mayMove(moves, m));
            if (move.isEmpty()) {
                withoutMove.add(source.get());
                continue;
            }
            applyMove(table, move.get(), move.get().isHotHash() ? "hot-key" : "load", moves);
        }
    }

    private boolean mayMove(Map<MemberId, Integer> moves, MemberId member) {
        return moves.getOrDefault(member, 0) < parameters.maxMovesPerServer();
    }

    private static void applyMove(
            WorkingTable table, MoveSearch.Move move, String reason, Map<MemberId, Integer> moves) {
        MemberId source = table.entries().get(move.entryIndex()).owner();
        moves.merge(source, 1, Integer::sum);
        moves.merge(move.target(), 1, Integer::sum);
        int index = table.split(move.entryIndex(), move.parts());
        table.assign(index + move.movedPartIndex(), move.target(), reason);
    }
}
