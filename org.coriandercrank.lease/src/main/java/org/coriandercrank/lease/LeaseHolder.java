package org.coriandercrank.lease;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * The lease of one incarnation as its holder sees it.
 *
 * <p>Invariants: every write that may still take effect is conditional on the revision of the confirmed record, so at
 * most one of them takes effect; the lease needs a majority in the confirmed witness set and in the set of each such
 * write; at most one store operation is in flight. Each event returns the actions to carry out; the driver publishes
 * {@link #validUntilNanos()} before it carries them out.
 *
 * <p>A holder may resume an incarnation of which a former process of the same host left a record. The lease of a resumed
 * incarnation holds only from its first own write on: that write proves that none of the former process can take effect.
 *
 * <p>Not thread safe. All times are of one monotonic clock, in nanoseconds.
 */
public final class LeaseHolder {
    /** Limit of memory while the store answers reads but no writes. */
    private static final int MAX_PENDING_WRITES = 8;

    /** A write that may have taken effect or may do so later. */
    private record PendingWrite(Member record, long sentAtNanos) {}

    private final LeaseTiming timing;
    private final long startNanos;
    private final VoteTable votes;
    private final List<PendingWrite> pendingWrites = new ArrayList<>();
    private final StoreBackoff backoff;

    private final boolean mayResume;
    private Optional<VersionedMember> confirmed = Optional.empty();

    /** Revision of the record that a former process left. */
    private Revision inheritedRevision = Revision.NONE;

    private Member desired;
    private Revision refusedUpTo = Revision.NONE;
    private long lastOperation;
    private boolean operationInFlight;
    private boolean writeOutcomeUnknown;
    private OptionalLong lastWriteNanos = OptionalLong.empty();
    private boolean ended;

    /** Starts an incarnation; the first {@link #tick} writes the record. */
    public LeaseHolder(LeaseTiming timing, Member initial, long nowNanos) {
        this(timing, initial, nowNanos, false);
    }

    /**
     * Starts or resumes an incarnation.
     *
     * @param mayResume whether a record of the same id was left by a former process of this host, which has certainly
     *     ended
     */
    public LeaseHolder(LeaseTiming timing, Member initial, long nowNanos, boolean mayResume) {
        this.timing = timing;
        this.mayResume = mayResume;
        this.desired = initial;
        this.startNanos = nowNanos;
        this.votes = new VoteTable(timing, nowNanos);
        this.backoff = new StoreBackoff(timing, nowNanos, initial.id().hashCode());
    }

    /** Time until which the lease holds; in the past if it does not. */
    public long validUntilNanos() {
        if (ended || confirmed.isEmpty() || desired.state() == MemberState.SEALED) {
            return startNanos;
        }
        long until = votes.validUntilNanos(confirmed.get().member().witnesses());
        for (PendingWrite write : pendingWrites) {
            until = Nanos.earlier(until, votes.validUntilNanos(write.record().witnesses()));
        }
        return until;
    }

    /** The record that the store is known to have had last. */
    public Optional<VersionedMember> confirmed() {
        return confirmed;
    }

    /** The content that the record is to have. */
    public Member desired() {
        return desired;
    }

    public boolean isEnded() {
        return ended;
    }

    /** When the heartbeat of the latest vote of a witness was sent. */
    public OptionalLong lastVoteNanos(MemberId witness) {
        return votes.lastVoteNanos(witness);
    }

    /**
     * Sets the wanted content of the record. A new witness set is written once it has voted, so that the change does
     * not interrupt the lease. {@link MemberState#SEALED} makes the lease invalid at once.
     */
    public void setDesired(Member newDesired) {
        if (!newDesired.id().equals(desired.id())) {
            throw new IllegalArgumentException("record of another member: " + newDesired.id());
        }
        desired = newDesired;
    }

    /** Sends due heartbeats and starts a due store operation. */
    public List<HolderAction> tick(long nowNanos) {
        List<HolderAction> actions = new ArrayList<>();
        if (ended) {
            return actions;
        }
        if (confirmed.isPresent() && votes.isHeartbeatDue(nowNanos)) {
            sendHeartbeats(nowNanos, actions);
        }
        startStoreOperation(nowNanos, actions);
        return actions;
    }

    /** Sends heartbeats at once, for example because they carry news. */
    public List<HolderAction> heartbeatNow(long nowNanos) {
        List<HolderAction> actions = new ArrayList<>();
        if (!ended && confirmed.isPresent()) {
            sendHeartbeats(nowNanos, actions);
        }
        return actions;
    }

    /** Answer of a witness; unknown or old sequences have no effect. */
    public List<HolderAction> heartbeatAnswered(MemberId witness, long sequence, boolean granted, long nowNanos) {
        if (granted) {
            votes.recordVote(witness, sequence);
            return List.of();
        }
        return refusalReceived(votes.revisionOf(sequence), nowNanos);
    }

    /** A witness refused the member at a record revision. */
    public List<HolderAction> refusalReceived(Revision recordRevision, long nowNanos) {
        if (recordRevision.isNewerThan(refusedUpTo)) {
            refusedUpTo = recordRevision;
        }
        return tick(nowNanos);
    }

    /** The write took effect and got a revision. */
    public List<HolderAction> writeSucceeded(long answeredOperation, Revision revision, long nowNanos) {
        if (!completeOperation(answeredOperation)) {
            return List.of();
        }
        PendingWrite write = pendingWrites.get(pendingWrites.size() - 1);
        return confirm(new VersionedMember(write.record(), revision), write.sentAtNanos(), nowNanos);
    }

    /** The write certainly had no effect. */
    public void writeFailed(long answeredOperation, long nowNanos) {
        if (completeOperation(answeredOperation)) {
            pendingWrites.remove(pendingWrites.size() - 1);
            backoff.failed(nowNanos);
        }
    }

    /** The write may have taken effect or may do so later. */
    public List<HolderAction> writeUnanswered(long answeredOperation, long nowNanos) {
        return scheduleReadBack(answeredOperation, nowNanos);
    }

    /**
     * The record had another revision than expected. The write stays pending until the record is read, because a
     * conflict can also be the answer to a second copy of a write that took effect.
     */
    public List<HolderAction> writeConflicted(long answeredOperation, long nowNanos) {
        return scheduleReadBack(answeredOperation, nowNanos);
    }

    /** Result of reading the own record; empty if it does not exist. */
    public List<HolderAction> readSucceeded(long answeredOperation, Optional<VersionedMember> read, long nowNanos) {
        if (!completeOperation(answeredOperation)) {
            return List.of();
        }
        Revision known = confirmed.map(VersionedMember::revision).orElse(Revision.NONE);
        Revision found = read.map(VersionedMember::revision).orElse(Revision.NONE);
        if (confirmed.isEmpty() && mayResume && read.isPresent()) {
            return resume(read.get(), nowNanos);
        }
        if (found.equals(known)) {
            writeOutcomeUnknown = false;
            backoff.failed(nowNanos);
            return List.of();
        }
        if (read.isEmpty()) {
            return end("deleted");
        }
        if (read.get().member().state() == MemberState.SEALED) {
            return end("sealed");
        }
        OptionalLong sentAtNanos = earliestPendingSendNanos(read.get().member());
        if (sentAtNanos.isEmpty()) {
            return end("replaced");
        }
        return confirm(read.get(), sentAtNanos.getAsLong(), nowNanos);
    }

    public void readFailed(long answeredOperation, long nowNanos) {
        if (completeOperation(answeredOperation)) {
            backoff.failed(nowNanos);
        }
    }

    private List<HolderAction> resume(VersionedMember inherited, long nowNanos) {
        if (inherited.member().state() == MemberState.SEALED) {
            return end("sealed");
        }
        OptionalLong sentAtNanos = earliestPendingSendNanos(inherited.member());
        if (sentAtNanos.isPresent()
                && inherited.revision().isNewerThan(inheritedRevision)
                && !inheritedRevision.equals(Revision.NONE)) {
            return confirm(inherited, sentAtNanos.getAsLong(), nowNanos);
        }
        inheritedRevision = inherited.revision();
        writeOutcomeUnknown = false;
        return tick(nowNanos);
    }

    /** The own record was seen as sealed. */
    public List<HolderAction> recordSealed() {
        return ended ? List.of() : end("sealed");
    }

    private List<HolderAction> scheduleReadBack(long answeredOperation, long nowNanos) {
        if (!completeOperation(answeredOperation)) {
            return List.of();
        }
        writeOutcomeUnknown = true;
        return tick(nowNanos);
    }

    private boolean completeOperation(long answeredOperation) {
        if (ended || !operationInFlight || answeredOperation != lastOperation) {
            return false;
        }
        operationInFlight = false;
        return true;
    }

    private List<HolderAction> confirm(VersionedMember record, long sentAtNanos, long nowNanos) {
        confirmed = Optional.of(record);
        pendingWrites.clear();
        writeOutcomeUnknown = false;
        votes.recordStoreVote(sentAtNanos);
        backoff.succeeded(nowNanos);
        if (record.member().state() == MemberState.SEALED) {
            return end("self-sealed");
        }
        return tick(nowNanos);
    }

    private List<HolderAction> end(String reason) {
        ended = true;
        return List.of(new HolderAction.End(reason));
    }

    private OptionalLong earliestPendingSendNanos(Member record) {
        return pendingWrites.stream()
                .filter(write -> write.record().equals(record))
                .mapToLong(PendingWrite::sentAtNanos)
                .reduce(Nanos::earlier);
    }

    private void sendHeartbeats(long nowNanos, List<HolderAction> actions) {
        Revision revision = confirmed.orElseThrow().revision();
        long sequence = votes.heartbeatSent(revision, nowNanos);
        for (MemberId witness : heartbeatTargets()) {
            actions.add(new HolderAction.SendHeartbeat(witness, revision, sequence));
        }
    }

    private Set<MemberId> heartbeatTargets() {
        Set<MemberId> targets =
                new LinkedHashSet<>(confirmed.orElseThrow().member().witnesses());
        pendingWrites.forEach(write -> targets.addAll(write.record().witnesses()));
        targets.addAll(desired.witnesses());
        votes.retainVotes(targets);
        return targets;
    }

    private void startStoreOperation(long nowNanos, List<HolderAction> actions) {
        if (operationInFlight || !backoff.isDue(nowNanos)) {
            return;
        }
        if (writeOutcomeUnknown) {
            lastOperation++;
            operationInFlight = true;
            actions.add(new HolderAction.ReadRecord(lastOperation));
            return;
        }
        Optional<Member> record = confirmed.isEmpty() ? Optional.of(desired) : recordToWrite(nowNanos);
        if (record.isPresent()) {
            lastOperation++;
            operationInFlight = true;
            lastWriteNanos = OptionalLong.of(nowNanos);
            addPending(new PendingWrite(record.get(), nowNanos));
            Revision expected = confirmed.map(VersionedMember::revision).orElse(inheritedRevision);
            actions.add(new HolderAction.WriteRecord(lastOperation, record.get(), expected));
        }
    }

    /** Adds a write as the latest; of unanswered writes of the same content only the earliest and latest are kept. */
    private void addPending(PendingWrite write) {
        List<PendingWrite> same = pendingWrites.stream()
                .filter(pending -> pending.record().equals(write.record()))
                .toList();
        pendingWrites.removeAll(same.subList(Math.min(1, same.size()), same.size()));
        pendingWrites.add(write);
    }

    private Optional<Member> recordToWrite(long nowNanos) {
        Member current = confirmed.orElseThrow().member();
        if (pendingWrites.size() >= MAX_PENDING_WRITES) {
            return Optional.of(pendingWrites.get(pendingWrites.size() - 1).record());
        }
        if (desired.state() == MemberState.SEALED) {
            return Optional.of(desired);
        }
        Member sameWitnesses = desired.withWitnesses(current.witnesses());
        boolean refusedRevision = !confirmed.orElseThrow().revision().isNewerThan(refusedUpTo);
        boolean witnessChange = !desired.witnesses().equals(current.witnesses());
        if (witnessChange && canChangeWitnesses(nowNanos)) {
            return Optional.of(desired);
        }
        boolean contentChange = !sameWitnesses.equals(current);
        if (refusedRevision || contentChange || !pendingWrites.isEmpty() || isRenewalDue(current, witnessChange, nowNanos)) {
            return Optional.of(sameWitnesses);
        }
        return Optional.empty();
    }

    /** Whether the new witnesses have voted, or there is no lease that a change could interrupt. */
    private boolean canChangeWitnesses(long nowNanos) {
        return validUntilNanos() - nowNanos <= 0
                || votes.validUntilNanos(desired.witnesses()) - nowNanos > timing.ttlNanos() / 2;
    }

    /** A change to a set that lacks votes is preceded by a renewal, because the vote of the store may complete it. */
    private boolean isRenewalDue(Member current, boolean witnessChange, long nowNanos) {
        if (lastWriteNanos.isPresent() && nowNanos - lastWriteNanos.getAsLong() < timing.renewalNanos()) {
            return false;
        }
        return isWitnessMajorityExpiring(current.witnesses(), nowNanos)
                || (witnessChange && isWitnessMajorityExpiring(desired.witnesses(), nowNanos));
    }

    private boolean isWitnessMajorityExpiring(List<MemberId> witnesses, long nowNanos) {
        return votes.witnessMajorityUntilNanos(witnesses) - nowNanos < timing.ttlNanos() / 2;
    }
}
