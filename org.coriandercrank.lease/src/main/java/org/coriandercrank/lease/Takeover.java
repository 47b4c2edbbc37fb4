package org.coriandercrank.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.MemberState;

/**
 * State machine of a daemon that takes over one suspected member.
 *
 * <p>Invariants: the seal is conditional on a record revision v that this daemon has known for longer than the expiry
 * time, and it is sent only after {@link Quorum#requiredRefusals} witnesses granted a refusal at v. No refusal is
 * requested earlier either, because a member relies on that after the restart of a witness, see {@link LeaseHolder}. A
 * newer record restarts the takeover.
 *
 * <p>Each event method that returns actions expects its driver to carry them out. Not thread safe. Times are monotonic,
 * in nanoseconds.
 */
public final class Takeover {
    /** Progress of a takeover. */
    public enum State {
        RUNNING,
        /** The record is sealed, by this taker or another. */
        SEALED,
        /** The record no longer exists. */
        GONE
    }

    private final LeaseTiming timing;
    private final long startAtNanos;
    private final StoreBackoff backoff;
    private final Set<MemberId> refusals = new HashSet<>();
    private final Map<MemberId, Long> nextRequestNanos = new HashMap<>();
    private VersionedMember target;
    private long knownSinceNanos;
    private long lastOperation;
    private boolean operationInFlight;
    private boolean readNeeded;
    private State state = State.RUNNING;

    /**
     * Starts a takeover.
     *
     * @param knownSinceNanos when this daemon first saw this revision of the record
     * @param startAtNanos earliest time of the first action
     */
    public Takeover(LeaseTiming timing, VersionedMember target, long knownSinceNanos, long startAtNanos) {
        this.timing = timing;
        this.target = target;
        this.knownSinceNanos = knownSinceNanos;
        this.startAtNanos = startAtNanos;
        this.backoff = new StoreBackoff(timing, startAtNanos, knownSinceNanos);
    }

    public State state() {
        return state;
    }

    public VersionedMember target() {
        return target;
    }

    public int refusalCount() {
        return refusals.size();
    }

    /** Requests refusals and starts a seal or a read of the record, each if it is due. */
    public List<TakeoverAction> tick(long nowNanos) {
        List<TakeoverAction> actions = new ArrayList<>();
        if (state != State.RUNNING || nowNanos - startAtNanos < 0) {
            return actions;
        }
        int requiredCount = Quorum.requiredRefusals(target.member().witnesses().size());
        boolean knownForExpiry = nowNanos - knownSinceNanos > timing.expiryNanos();
        if (knownForExpiry && refusals.size() < requiredCount) {
            requestRefusals(nowNanos, actions);
        }
        if (operationInFlight || !backoff.isDue(nowNanos)) {
            return actions;
        }
        if (readNeeded) {
            lastOperation++;
            operationInFlight = true;
            actions.add(new TakeoverAction.ReadRecord(lastOperation));
        } else if (knownForExpiry && refusals.size() >= requiredCount) {
            lastOperation++;
            operationInFlight = true;
            actions.add(new TakeoverAction.Seal(
                    lastOperation, target.member().withState(MemberState.SEALED), target.revision()));
        }
        return actions;
    }

    /**
     * Handles the answer of a witness; an answer for another revision than that of the target has no effect. A witness
     * that did not grant the refusal is asked again after its retry delay, but not before half a heartbeat interval.
     */
    public List<TakeoverAction> refusalAnswered(
            MemberId witness, Revision recordRevision, boolean granted, long retryAfterNanos, long nowNanos) {
        if (!recordRevision.equals(target.revision())) {
            return List.of();
        }
        if (granted && target.member().witnesses().contains(witness)) {
            refusals.add(witness);
        } else {
            nextRequestNanos.put(witness, nowNanos + Math.max(retryAfterNanos, timing.heartbeatNanos() / 2));
        }
        return tick(nowNanos);
    }

    /** Restarts the takeover with a newer record of the member; an older record has no effect. */
    public void recordUpdated(VersionedMember record, long nowNanos) {
        if (!record.revision().isNewerThan(target.revision())) {
            return;
        }
        target = record;
        knownSinceNanos = nowNanos;
        refusals.clear();
        nextRequestNanos.clear();
        readNeeded = false;
        if (record.member().state() == MemberState.SEALED) {
            state = State.SEALED;
        }
    }

    /** Handles a seal that took effect and got a revision. */
    public void sealSucceeded(long answeredOperation, Revision revision, long nowNanos) {
        if (completeOperation(answeredOperation)) {
            recordUpdated(new VersionedMember(target.member().withState(MemberState.SEALED), revision), nowNanos);
        }
    }

    /**
     * Handles a seal that was rejected because the record has another revision, or whose outcome is unknown. The record
     * is read before anything else is written.
     */
    public List<TakeoverAction> sealNotConfirmed(long answeredOperation, long nowNanos) {
        if (!completeOperation(answeredOperation)) {
            return List.of();
        }
        readNeeded = true;
        return tick(nowNanos);
    }

    /** Handles a failed read, or a seal that had no effect and will have none. */
    public void storeFailed(long answeredOperation, long nowNanos) {
        if (completeOperation(answeredOperation)) {
            backoff.failed(nowNanos);
        }
    }

    /**
     * Handles the result of reading the record.
     *
     * @param read empty if the record does not exist
     */
    public void readSucceeded(long answeredOperation, Optional<VersionedMember> read, long nowNanos) {
        if (!completeOperation(answeredOperation)) {
            return;
        }
        readNeeded = false;
        if (read.isEmpty()) {
            state = State.GONE;
        } else if (read.get().revision().equals(target.revision())) {
            backoff.failed(nowNanos);
        } else {
            recordUpdated(read.get(), nowNanos);
        }
    }

    /** Marks the store operation in flight as completed; returns false if the answer is not for that operation. */
    private boolean completeOperation(long answeredOperation) {
        if (!operationInFlight || answeredOperation != lastOperation) {
            return false;
        }
        operationInFlight = false;
        return true;
    }

    private void requestRefusals(long nowNanos, List<TakeoverAction> actions) {
        for (MemberId witness : target.member().witnesses()) {
            Long nextNanos = nextRequestNanos.get(witness);
            if (!refusals.contains(witness) && (nextNanos == null || nowNanos - nextNanos >= 0)) {
                nextRequestNanos.put(witness, nowNanos + timing.heartbeatNanos());
                actions.add(new TakeoverAction.RequestRefusal(witness, target.revision(), nowNanos - knownSinceNanos));
            }
        }
    }
}
