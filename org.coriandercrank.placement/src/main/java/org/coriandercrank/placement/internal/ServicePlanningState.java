package org.coriandercrank.placement.internal;

import java.util.List;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;

/**
 * What the planner remembers of a service between decisions. Not thread safe.
 *
 * <p>The table never gets older.
 */
public final class ServicePlanningState {
    private final long imbalanceTargetPercent;
    private AssignmentTable table;
    private boolean writePending;
    private long lastChangeMs;
    private boolean imbalanced;
    private long imbalancedSinceMs;
    private long candidatesSinceMs;
    private long retryAtMs;
    private List<MemberId> candidates = List.of();
    private long decidedInputVersion = -1;

    public ServicePlanningState(ServiceName service, long imbalanceTargetPercent, long nowMs) {
        this.imbalanceTargetPercent = imbalanceTargetPercent;
        table = AssignmentTable.empty(service);
        lastChangeMs = nowMs;
        candidatesSinceMs = nowMs;
    }

    public AssignmentTable table() {
        return table;
    }

    public void updateTable(AssignmentTable newTable) {
        if (newTable.generation().isNewerThan(table.generation())) {
            table = newTable;
        }
    }

    public void updateCandidates(List<Member> current, long nowMs) {
        List<MemberId> ids = current.stream().map(Member::id).toList();
        if (!ids.equals(candidates)) {
            candidates = ids;
            candidatesSinceMs = nowMs;
        }
    }

    public void updateImbalance(double imbalance, long nowMs) {
        boolean aboveTarget = imbalance * 100 > imbalanceTargetPercent;
        if (aboveTarget && !imbalanced) {
            imbalancedSinceMs = nowMs;
        }
        imbalanced = aboveTarget;
    }

    public void recordPolicyChange(long nowMs) {
        lastChangeMs = nowMs;
    }

    /**
     * Whether a decision may be started, and there is new input or the service waits for its first table.
     *
     * @param inputVersion number of the input, which grows with each snapshot and each round of load reports
     */
    public boolean shouldDecide(long inputVersion, long nowMs) {
        boolean newInput =
                inputVersion != decidedInputVersion || table.assignments().isEmpty();
        return !writePending && nowMs >= retryAtMs && newInput;
    }

    /** Notes that the table stands for an input. */
    public void recordDecided(long inputVersion) {
        decidedInputVersion = inputVersion;
    }

    public void beginWrite() {
        writePending = true;
    }

    public void endWrite(long newRetryAtMs) {
        writePending = false;
        retryAtMs = newRetryAtMs;
    }

    public long lastChangeMs() {
        return lastChangeMs;
    }

    /** Time since which the imbalance has been above the target; {@code nowMs} if it is not. */
    public long imbalancedSinceMs(long nowMs) {
        return imbalanced ? imbalancedSinceMs : nowMs;
    }

    public long candidatesSinceMs() {
        return candidatesSinceMs;
    }
}
