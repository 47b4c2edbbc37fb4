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

    public void setRoleHeld(boolean holder) {
        set("crank.planner.holder", Tags.empty(), holder ? 1 : 0);
    }

    public void countChanges(ServiceName service, List<TableBuilder.Change> changes) {
        for (TableBuilder.Change change : changes) {
            Tags tags = Tags.of("service", service.value(), "reason", change.reason());
            registry.counter("crank.placement.moves", tags).increment();
            registry.counter("crank.placement.moved.share", tags)
                    .increment(change.range().share());
        }
    }

    public void setTable(ServiceName service, AssignmentTable table, double imbalance) {
        Tags tags = Tags.of("service", service.value());
        set("crank.placement.ranges", tags, table.assignments().size());
        set("crank.placement.imbalance", tags, imbalance);
    }

    /**
     * Counts the share of hash space that no owner reported as served, over the time that the reports stand for.
     *
     * @param elapsedSeconds time since the last call
     */
    public void recordUnserved(
            ServiceName service, AssignmentTable table, Map<MemberId, LoadReport> reports, double elapsedSeconds) {
        double unserved = unservedShare(table, reports);
        Tags tags = Tags.of("service", service.value());
        set("crank.placement.unserved.share", tags, unserved);
        registry.counter("crank.placement.unserved.share.seconds", tags).increment(unserved * elapsedSeconds);
    }

    /** Share of the hash space whose owner does not report that it serves it. */
    public static double unservedShare(AssignmentTable table, Map<MemberId, LoadReport> reports) {
        double served = 0;
        for (RangeAssignment a : table.assignments()) {
            LoadReport report = reports.get(a.owner());
            if (report == null) {
                continue;
            }
            List<KeyRange> reported = report.ranges().stream()
                    .filter(RangeLoad::serving)
                    .map(RangeLoad::range)
                    .filter(r -> r.overlaps(a.range()))
                    .toList();
            served += a.range().share();
            for (KeyRange missing : KeyRanges.subtract(a.range(), reported)) {
                served -= missing.share();
            }
        }
        return Math.max(0, 1 - served);
    }

    private void set(String name, Tags tags, double value) {
        gauges.computeIfAbsent(name + tags, key -> {
                    AtomicReference<Double> holder = new AtomicReference<>(0.0);
                    registry.gauge(name, tags, holder, AtomicReference::get);
                    return holder;
                })
                .set(value);
    }
}
