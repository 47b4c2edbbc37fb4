package org.coriandercrank.placement.internal;

import java.util.List;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;

/**
 * The state of a service that the planner keeps between decisions. Not thread safe.
 *
 * <p>The generation of the table never decreases. All times are monotonic, in milliseconds.
 */
public final class ServicePlanningState {
    private final long imbalanceTargetPercent;
    private AssignmentTable table;
    private boolean writePending;
    private boolean recoveryRequired;
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

    /** Replaces the table if the given one is newer. */
    public void updateTable(AssignmentTable newTable) {
        if (newTable.generation().isNewerThan(table.generation())) {
            table = newTable;
        }
    }

    /** Updates since when the candidates have been the same. */
    public void updateCandidates(List<Member> current, long nowMs) {
        List<MemberId> ids = current.stream().map(Member::id).toList();
        if (!ids.equals(candidates)) {
            candidates = ids;
            candidatesSinceMs = nowMs;
        }
    }

    /**
     * Updates since when the imbalance has been above the target.
     *
     * @param imbalance load of the most loaded server over its fair load
     */
    public void updateImbalance(double imbalance, long nowMs) {
        boolean aboveTarget = imbalance * 100 > imbalanceTargetPercent;
        if (aboveTarget && !imbalanced) {
            imbalancedSinceMs = nowMs;
        }
        imbalanced = aboveTarget;
    }

    /** Records the time of a change that a placement policy decided on. */
    public void recordPolicyChange(long nowMs) {
        lastChangeMs = nowMs;
    }

    /**
     * Whether to decide on the next table now: no write is pending, and there is new input or the service has no table
     * yet.
     *
     * @param inputVersion version of the input, which increases with each snapshot and each round of load reports
     */
    public boolean shouldDecide(long inputVersion, long nowMs) {
        boolean newInput =
                inputVersion != decidedInputVersion || table.assignments().isEmpty();
        return mayWrite(nowMs) && newInput;
    }

    /** Whether no write is pending and none has to wait. */
    public boolean mayWrite(long nowMs) {
        return !writePending && nowMs >= retryAtMs;
    }

    /**
     * Notes the table that the store was found to have. A late write may have replaced that of the present era by one of
     * an earlier era.
     */
    public void updateStoredTable(AssignmentTable stored, Era era) {
        recoveryRequired = era.isNewerThan(stored.generation().era());
        updateTable(stored);
    }

    public boolean isRecoveryRequired() {
        return recoveryRequired;
    }

    /** Records that the table needs no change for a version of the input. */
    public void recordDecided(long inputVersion) {
        decidedInputVersion = inputVersion;
    }

    public void beginWrite() {
        writePending = true;
    }

    /** Ends a write; no decision is made before {@code newRetryAtMs}. */
    public void endWrite(long newRetryAtMs) {
        writePending = false;
        retryAtMs = newRetryAtMs;
    }

    /** The time of the last change that a placement policy decided on. */
    public long lastChangeMs() {
        return lastChangeMs;
    }

    /**
     * The time since which the imbalance has been above the target without a break; {@code nowMs} if it is not above
     * it.
     */
    public long imbalancedSinceMs(long nowMs) {
        return imbalanced ? imbalancedSinceMs : nowMs;
    }

    /** The time since which the candidates have been the same. */
    public long candidatesSinceMs() {
        return candidatesSinceMs;
    }
}
