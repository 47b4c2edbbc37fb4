package org.coriandercrank.placement.internal;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.RangeAssignment;

/** Metrics of the planner. Thread safe. */
public final class PlacementMeters {
    private final MeterRegistry registry;
    private final Map<String, AtomicReference<Double>> gauges = new ConcurrentHashMap<>();

    public PlacementMeters(MeterRegistry registry) {
        this.registry = registry;
    }

    public void setRoleHeld(boolean held) {
        set("crank.planner.holder", Tags.empty(), held ? 1 : 0);
    }

    /** Counts changes of owners by reason, and the share of the hash space that they move. */
    public void countChanges(ServiceName service, List<TableBuilder.Change> changes) {
        for (TableBuilder.Change change : changes) {
            Tags tags = Tags.of("service", service.value(), "reason", change.reason());
            registry.counter("crank.placement.moves", tags).increment();
            registry.counter("crank.placement.moved.share", tags)
                    .increment(change.range().share());
        }
    }

    /** Records the number of ranges of a table and the highest load of a server over its fair load. */
    public void setTable(ServiceName service, AssignmentTable table, double imbalance) {
        Tags tags = Tags.of("service", service.value());
        set("crank.placement.ranges", tags, table.assignments().size());
        set("crank.placement.imbalance", tags, imbalance);
    }

    /**
     * Records the share of the hash space that no owner reports as served, and adds it to the counter of unserved
     * share-seconds.
     *
     * @param elapsedSeconds time since the previous call
     */
    public void recordUnserved(
            ServiceName service, AssignmentTable table, Map<MemberId, LoadReport> reports, double elapsedSeconds) {
        double unserved = unservedShare(table, reports);
        Tags tags = Tags.of("service", service.value());
        set("crank.placement.unserved.share", tags, unserved);
        registry.counter("crank.placement.unserved.share.seconds", tags).increment(unserved * elapsedSeconds);
    }

    /** The share of the hash space, 0 to 1, whose owner does not report that it serves it. */
    public static double unservedShare(AssignmentTable table, Map<MemberId, LoadReport> reports) {
        double served = 0;
        for (RangeAssignment assignment : table.assignments()) {
            LoadReport report = reports.get(assignment.owner());
            if (report == null) {
                continue;
            }
            List<KeyRange> reported = report.ranges().stream()
                    .filter(RangeLoad::serving)
                    .map(RangeLoad::range)
                    .filter(r -> r.overlaps(assignment.range()))
                    .toList();
            served += assignment.range().share();
            for (KeyRange missing : KeyRanges.subtract(assignment.range(), reported)) {
                served -= missing.share();
            }
        }
        return Math.max(0, 1 - served);
    }

    private void set(String name, Tags tags, double value) {
        gauges.computeIfAbsent(name + tags, key -> {
                    AtomicReference<Double> current = new AtomicReference<>(0.0);
                    registry.gauge(name, tags, current, AtomicReference::get);
                    return current;
                })
                .set(value);
    }
}
