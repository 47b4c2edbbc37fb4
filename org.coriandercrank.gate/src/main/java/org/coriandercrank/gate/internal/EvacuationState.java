package org.coriandercrank.gate.internal;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.table.Member;

/**
 * Whether the operator evacuates the failure domain of this gate, and since when the gate refuses requests for that.
 *
 * <p>A gate that has served requests goes on for {@code evacuationDelayMs}, so that the planner can move its ranges
 * without a gap. One that learns of the evacuation before its first backend server is attached refuses at once, because
 * the evacuation may have begun long ago. Not thread safe.
 */
final class EvacuationState {
    private final GateContext context;
    private Optional<FailureDomain> domain = Optional.empty();
    private boolean servedBefore;
    private OptionalLong refusesAtNanos = OptionalLong.empty();
    private boolean refusing;

    EvacuationState(GateContext context) {
        this.context = context;
    }

    /** Whether requests that were not yet sent to the backend server are refused. */
    boolean isRefusing(boolean backendAttached) {
        RoutingSnapshot routing = context.routing();
        if (!isEvacuated(routing)) {
            servedBefore |= backendAttached && !routing.configurationRevision().equals(Revision.NONE);
            refusesAtNanos = OptionalLong.empty();
            update(false);
            return false;
        }
        long nowNanos = context.nowNanos();
        if (refusesAtNanos.isEmpty()) {
            long delayMs = servedBefore ? context.options().evacuationDelayMs() : 0;
            refusesAtNanos = OptionalLong.of(nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMs));
        }
        update(nowNanos - refusesAtNanos.getAsLong() >= 0);
        return refusing;
    }

    /** The domain of the latest known own record counts while a new member of this daemon has no record yet. */
    private boolean isEvacuated(RoutingSnapshot routing) {
        if (routing.evacuatedDomains().isEmpty()) {
            return false;
        }
        domain = routing.member(routing.self()).map(Member::failureDomain).or(() -> domain);
        return domain.filter(routing.evacuatedDomains()::contains).isPresent();
    }

    private void update(boolean newRefusing) {
        if (newRefusing != refusing) {
            refusing = newRefusing;
            context.logDecision(() -> "event=evacuation domain=" + domain.orElseThrow() + " state="
                    + (newRefusing ? "refusing" : "accepting"));
        }
    }
}
