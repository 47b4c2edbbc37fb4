package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.placement.RangeLoad.HotHash;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.RangeAssignment;

/**
 * Computes the load of the ranges of a table from load reports, whose ranges may be those of an older table. Stateless
 * and thread safe.
 */
public final class RangeLoads {
    /**
     * Load of a range. Immutable.
     *
     * @param evenPerSecond requests per second except those of the hot hashes, assumed to be evenly distributed over
     *     the range
     * @param hotHashes the hashes with the highest rates
     */
    public record Load(double evenPerSecond, List<HotHash> hotHashes) {
        static final Load NONE = new Load(0, List.of());

        public Load {
            hotHashes = List.copyOf(hotHashes);
        }

        /** The load in requests per second, including the hot hashes. */
        public double perSecond() {
            double sum = evenPerSecond;
            for (HotHash hotHash : hotHashes) {
                sum += hotHash.requestsPerSecond();
            }
            return sum;
        }

        /** The load of a part of a range, where {@code whole} has this load. */
        Load partOf(KeyRange whole, KeyRange part) {
            double fraction = Math.min(1, part.share() / whole.share());
            return new Load(
                    evenPerSecond * fraction,
                    hotHashes.stream().filter(h -> part.contains(h.hash())).toList());
        }

        Load plus(Load other) {
            return new Load(
                    evenPerSecond + other.evenPerSecond,
                    Stream.concat(hotHashes.stream(), other.hotHashes.stream()).toList());
        }
    }

    private RangeLoads() {}

    /**
     * The load of each assignment of a table. If the owner of a range reports no load for it and the range has previous
     * owners, the reports of all members are used.
     */
    static List<Load> loadsOf(AssignmentTable table, Map<MemberId, List<RangeLoad>> reports) {
        List<RangeLoad> allReported =
                reports.values().stream().flatMap(List::stream).toList();
        List<Load> loads = new ArrayList<>(table.assignments().size());
        for (RangeAssignment assignment : table.assignments()) {
            Load ownerLoad = loadOf(assignment.range(), reports.getOrDefault(assignment.owner(), List.of()));
            loads.add(
                    ownerLoad.perSecond() > 0 || assignment.previousOwners().isEmpty()
                            ? ownerLoad
                            : loadOf(assignment.range(), allReported));
        }
        return loads;
    }

    /** The reported load of a range, in proportion to the overlap with the reported ranges. */
    private static Load loadOf(KeyRange range, List<RangeLoad> reported) {
        Load sum = Load.NONE;
        for (RangeLoad load : reported) {
            KeyRange intersection = KeyRanges.intersect(load.range(), range).orElse(null);
            if (intersection != null) {
                sum = sum.plus(toLoad(load).partOf(load.range(), intersection));
            }
        }
        return sum;
    }

    private static Load toLoad(RangeLoad load) {
        double hot = load.hotHashes().stream()
                .mapToDouble(HotHash::requestsPerSecond)
                .sum();
        return new Load(Math.max(0, load.requestsPerSecond() - hot), load.hotHashes());
    }
}
