package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.placement.RangeLoad.HotHash;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;

/**
 * Finds the move of a range, or of a part of it, with the best gain for its cost. The static methods keep no state and
 * are thread safe.
 */
final class MoveSearch {
    /**
     * The move of an entry, or of a part of it. Immutable.
     *
     * @param parts the ranges that the entry is split into; the range of the entry itself if the entry moves as a whole
     * @param movedPartIndex index of the part that moves
     * @param score the move with the highest score is the best; for moves from an overloaded server this is the gain
     *     less the cost, in units of load over fair load
     * @param isHotHash whether the part that moves is a single hash with a high load
     */
    record Move(
            int entryIndex,
            List<KeyRange> parts,
            int movedPartIndex,
            MemberId target,
            double score,
            boolean isHotHash) {
        Move {
            parts = List.copyOf(parts);
        }
    }

    /** Least reduction of the higher load of source and target, in units of load over fair load. */
    private static final double MIN_GAIN = 0.03;

    /** Largest fraction of a range that is split off, so that a part of the range remains. */
    private static final double MAX_SPLIT_FRACTION = 0.9;

    /** Load over fair load that a server may reach when it gets more hash space. */
    private static final double MAX_FILLED_LOAD_RATIO = 1.0;

    /** Largest moved hash space over the wanted hash space; it can exceed 1 if the range may not be split. */
    private static final int MAX_MOVED_SHARE_RATIO = 2;

    private final WorkingTable table;
    private final MemberId source;
    private final MemberId target;
    private final RebalanceParameters parameters;
    private final boolean maySplit;
    private final List<Move> candidates = new ArrayList<>();

    private MoveSearch(WorkingTable table, MemberId source, MemberId target, RebalanceParameters parameters) {
        this.table = table;
        this.source = source;
        this.target = target;
        this.parameters = parameters;
        this.maySplit = TableCompaction.maySplit(table);
    }

    /**
     * Finds the best move from an overloaded server to the least loaded other server.
     *
     * @param mayMove whether a server may take part in another move
     */
    static Optional<Move> findMoveFrom(
            WorkingTable table, MemberId source, RebalanceParameters parameters, Predicate<MemberId> mayMove) {
        return table.weights().keySet().stream()
                .filter(m -> !m.equals(source) && mayMove.test(m))
                .min(Comparator.comparingDouble(table::loadRatio))
                .flatMap(target -> new MoveSearch(table, source, target, parameters).findBest());
    }

    private Optional<Move> findBest() {
        for (int i = 0; i < table.entries().size(); i++) {
            WorkingTable.Entry entry = table.entries().get(i);
            if (entry.owner().equals(source) && entry.stable()) {
                addMovesOf(i, entry);
            }
        }
        return candidates.stream().max(Comparator.comparingDouble(Move::score));
    }

    /** Adds the moves of the whole entry, of each of its hot hashes, and of a part with about the load to be moved. */
    private void addMovesOf(int index, WorkingTable.Entry entry) {
        addIfWorthwhile(index, List.of(entry.range()), 0, entry.load().perSecond(), false);
        if (!maySplit || KeyRanges.isSingleHash(entry.range())) {
            return;
        }
        for (HotHash hotHash : entry.load().hotHashes()) {
            List<KeyRange> parts = KeyRanges.splitAround(entry.range(), hotHash.hash());
            int hotPartIndex = entry.range().first().equals(hotHash.hash()) ? 0 : 1;
            addIfWorthwhile(index, parts, hotPartIndex, hotHash.requestsPerSecond(), true);
        }
        double evenLoad = entry.load().evenPerSecond();
        double spare = table.load(source) - parameters.lowWatermark() * table.fairLoad(source);
        double wanted = Math.min(spare, table.fairLoad(target) - table.load(target));
        if (wanted > 0 && evenLoad > 0) {
            List<KeyRange> parts = KeyRanges.splitAt(entry.range(), Math.min(wanted / evenLoad, MAX_SPLIT_FRACTION));
            for (int partIndex = 0; partIndex < parts.size(); partIndex++) {
                addIfWorthwhile(
                        index,
                        parts,
                        partIndex,
                        entry.load().partOf(entry.range(), parts.get(partIndex)).perSecond(),
                        false);
            }
        }
    }

    /** Adds a move if it reduces the higher load ratio of source and target by at least the required gain. */
    private void addIfWorthwhile(int index, List<KeyRange> parts, int movedPartIndex, double load, boolean isHotHash) {
        double before = Math.max(table.loadRatio(source), table.loadRatio(target));
        double after = Math.max(
                table.loadRatio(source, table.load(source) - load), table.loadRatio(target, table.load(target) + load));
        double gain = before - after;
        double cost = parameters.moveCost()
                + parameters.shareCost() * parts.get(movedPartIndex).share() / table.fairShare(source);
        double excess = table.loadRatio(source) - parameters.lowWatermark();
        if (gain >= Math.max(MIN_GAIN, excess * parameters.minGainFraction())) {
            candidates.add(new Move(index, parts, movedPartIndex, target, gain - cost, isHotHash));
        }
    }

    /**
     * Finds the best move of hash space to a server that has less than its fair share, from a server that has more than
     * its fair share. The size of the moved hash space and the load of its owner determine the score.
     *
     * @param mayMove whether a server may take part in another move
     */
    static Optional<Move> findMoveTo(WorkingTable table, MemberId target, Predicate<MemberId> mayMove) {
        double missingShare = table.fairShare(target) - table.share(target);
        double loadRoom = table.fairLoad(target) * MAX_FILLED_LOAD_RATIO - table.load(target);
        boolean maySplit = TableCompaction.maySplit(table);
        Move best = null;
        for (int i = 0; i < table.entries().size(); i++) {
            WorkingTable.Entry entry = table.entries().get(i);
            MemberId owner = entry.owner();
            double spare = table.share(owner) - table.fairShare(owner);
            if (owner.equals(target) || !entry.stable() || spare <= 0 || !mayMove.test(owner)) {
                continue;
            }
            double share = entry.range().share();
            double wanted = Math.min(missingShare, spare);
            List<KeyRange> parts = maySplit && share > wanted
                    ? KeyRanges.splitAt(entry.range(), wanted / share)
                    : List.of(entry.range());
            double movedShare = parts.get(0).share();
            double load = entry.load().partOf(entry.range(), parts.get(0)).perSecond();
            double score = Math.min(movedShare, missingShare) + table.loadRatio(owner) * movedShare;
            if (movedShare <= MAX_MOVED_SHARE_RATIO * wanted
                    && load <= loadRoom
                    && (best == null || score > best.score)) {
                best = new Move(i, parts, 0, target, score, false);
            }
        }
        return Optional.ofNullable(best);
    }
}
