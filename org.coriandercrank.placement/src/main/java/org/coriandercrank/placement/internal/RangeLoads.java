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
 * Load of the ranges of a table, from reports whose ranges may be those of an older table. Stateless and thread safe.
 */
public final class RangeLoads {
    /**
     * Load of a range. Immutable.
     *
     * @param evenPerSecond requests per second without the hot hashes, taken as evenly spread
     */
    public record Load(double evenPerSecond, List<HotHash> hotHashes) {
        static final Load NONE = new Load(0, List.of());

        public Load {
            hotHashes = List.copyOf(hotHashes);
        }

        public double perSecond() {
            double sum = evenPerSecond;
            for (HotHash h : hotHashes) {
                sum += h.requestsPerSecond();
            }
            return sum;
        }

        /** The load of a part of the range that has this load. */
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

    static List<Load> loadsOf(AssignmentTable table, Map<MemberId, List<RangeLoad>> reports) {
        List<RangeLoad> all = reports.values().stream().flatMap(List::stream).toList();
        List<Load> loads = new ArrayList<>(table.assignments().size());
        for (RangeAssignment assignment : table.assignments()) {
            Load own = loadOf(assignment.range(), reports.getOrDefault(assignment.owner(), List.of()));
            loads.add(
                    own.perSecond() > 0 || assignment.previousOwners().isEmpty()
                            ? own
                            : loadOf(assignment.range(), all));
        }
        return loads;
    }

    private static Load loadOf(KeyRange range, List<RangeLoad> reported) {
        Load sum = Load.NONE;
        for (RangeLoad load : reported) {
            KeyRange common = KeyRanges.intersect(load.range(), range).orElse(null);
            if (common != null) {
                sum = sum.plus(toLoad(load).partOf(load.range(), common));
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
