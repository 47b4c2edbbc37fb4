package org.coriandercrank.lease;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.coriandercrank.kernel.id.BootId;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * State machine of the member that holds the lease of one incarnation.
 *
 * <p>Each event method returns the actions that the driver must carry out. The driver publishes
 * {@link #validUntilNanos()} before it carries them out.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Every pending write is conditional on the revision of the confirmed record, so at most one of them takes
 *       effect.
 *   <li>The lease needs a majority of votes in the confirmed witness set and in the witness set of each pending write.
 *   <li>At most one store operation is in flight.
 * </ul>
 *
 * <p>A holder may resume an incarnation whose record was written by an earlier process of the same host. Its lease is
 * not valid before the first successful write of this process, after which no write of the earlier process can take
 * effect.
 *
 * <p>A witness votes only if the heartbeat names its process, so a witness that was restarted under its member id answers
 * with its process first. The holder names a process once no earlier one can have refused its record, see
 * {@link WitnessBoots}; if need be, it rewrites the record for that.
 *
 * <p>When the store returns from an older copy, the holder writes its record again. If the member could have been sealed
 * since the last confirmed write, the incarnation ends, see {@link StoreReturn}.
 *
 * <p>Not thread safe. All times are in nanoseconds of the same monotonic clock.
 */
public final class LeaseHolder {
    private final LeaseTiming timing;
    private final long startNanos;
    private final VoteTable votes;
    private final WitnessBoots boots;
    private final PendingWrites pendingWrites = new PendingWrites();
    private final StoreReturn storeReturn = new StoreReturn();
    private final StoreBackoff backoff;

    private final boolean mayResume;
    private Optional<VersionedMember> confirmed = Optional.empty();

    /** When the write of the confirmed record was sent; meaningful only if there is a confirmed record. */
    private long confirmedSentNanos;

    /** Revision of the record that an earlier process wrote; {@link Revision#NONE} if no such record was found. */
    private Revision inheritedRevision = Revision.NONE;

    private Member desired;

    /** Newest record revision at which a witness refuses this member. */
    private Revision refusedUpTo = Revision.NONE;

    private final StoreOperations operations = new StoreOperations();
    private boolean writeOutcomeUnknown;
    private OptionalLong lastWriteNanos = OptionalLong.empty();
    private boolean ended;

    /** Starts a new incarnation; the first {@link #tick} writes its record. */
    public LeaseHolder(LeaseTiming timing, Member initial, long nowNanos) {
        this(timing, initial, nowNanos, false);
    }

    /**
     * Starts or resumes an incarnation.
     *
     * @param mayResume whether the store may hold a record with the same id from an earlier process of this host; that
     *     process must have ended
     */
    public LeaseHolder(LeaseTiming timing, Member initial, long nowNanos, boolean mayResume) {
        this.timing = timing;
        this.mayResume = mayResume;
        this.desired = initial;
        this.startNanos = nowNanos;
        this.votes = new VoteTable(timing, nowNanos);
        this.boots = new WitnessBoots(timing);
        this.backoff = new StoreBackoff(timing, nowNanos, initial.id().hashCode());
    }

    /** Returns the time until which the lease is valid; it lies in the past if the lease is not valid. */
    public long validUntilNanos() {
        if (ended || confirmed.isEmpty() || desired.state() == MemberState.SEALED) {
            return startNanos;
        }
        long untilNanos = votes.validUntilNanos(confirmed.get().member().witnesses());
        return pendingWrites
                .records()
                .map(record -> votes.validUntilNanos(record.witnesses()))
                .reduce(untilNanos, Nanos::earlier);
    }

    /** Returns the latest record that the store is known to have held; empty before the first confirmed write. */
    public Optional<VersionedMember> confirmed() {
        return confirmed;
    }

    /** Returns the record content that this holder tries to write. */
    public Member desired() {
        return desired;
    }

    public boolean isEnded() {
        return ended;
    }

    /** Returns when the heartbeat was sent that the witness acknowledged last. */
    public OptionalLong lastVoteNanos(MemberId witness) {
        return votes.lastVoteNanos(witness);
    }

    /**
     * Sets the desired content of the record.
     *
     * <p>A new witness set is written only after its members have voted, so that the change does not interrupt the
     * lease. {@link MemberState#SEALED} invalidates the lease immediately.
     *
     * @throws IllegalArgumentException if the record belongs to another member
     */
    public void setDesired(Member newDesired) {
        if (!newDesired.id().equals(desired.id())) {
            throw new IllegalArgumentException("the record belongs to another member: " + newDesired.id());
        }
        desired = newDesired;
    }

    /** Repeats a failed store operation after the given delay at the latest, for content that others wait for. */
    public void limitBackoff(long maxDelayNanos, long nowNanos) {
        backoff.limitDelay(maxDelayNanos, nowNanos);
    }

    /** Sends heartbeats and starts a store operation if they are due. */
    public List<HolderAction> tick(long nowNanos) {
        List<HolderAction> actions = new ArrayList<>();
        if (ended) {
            return actions;
        }
        observeSealable(nowNanos);
        if (confirmed.isPresent() && votes.isHeartbeatDue(nowNanos)) {
            sendHeartbeats(nowNanos, actions);
        }
        startStoreOperation(nowNanos, actions);
        return actions;
    }

    private void observeSealable(long nowNanos) {
        storeReturn.observeSealable(confirmed.isPresent()
                && nowNanos - confirmedSentNanos >= timing.ttlNanos()
                && validUntilNanos() - nowNanos <= 0);
    }

    /** Handles an era that the store or another daemon has named; in a new one the record is read and written again. */
    public List<HolderAction> eraObserved(Era era, long nowNanos) {
        if (ended || !storeReturn.observe(era)) {
            return List.of();
        }
        observeSealable(nowNanos);
        backoff.limitDelay(0, nowNanos);
        return tick(nowNanos);
    }

    private boolean isRecordOutdated() {
        return confirmed
                .filter(record -> storeReturn.isOutdated(record.revision()))
                .isPresent();
    }

    /** Sends heartbeats before they are due, for example to announce an update to the witnesses. */
    public List<HolderAction> heartbeatNow(long nowNanos) {
        List<HolderAction> actions = new ArrayList<>();
        confirmed.filter(record -> !ended).ifPresent(record -> sendHeartbeats(nowNanos, actions));
        return actions;
    }

    /** Handles the answer of a witness to a heartbeat; an answer to an unknown or old sequence number has no effect. */
    public List<HolderAction> heartbeatAnswered(MemberId witness, long sequence, boolean granted, long nowNanos) {
        observeSealable(nowNanos);
        if (granted) {
            votes.recordVote(witness, sequence);
            observeSealable(nowNanos);
            return List.of();
        }
        return refusalReceived(votes.revisionOf(sequence), nowNanos);
    }

    /**
     * Handles the answer of a process of a witness that the heartbeat did not name. A process that is cleared gets a
     * heartbeat at once; for another one the record is rewritten.
     *
     * @param uptimeNanos time since the start of the process, on its own clock
     */
    public List<HolderAction> otherBootAnswered(
            MemberId witness, long sequence, BootId boot, long uptimeNanos, long nowNanos) {
        if (ended || confirmed.isEmpty() || !boots.observe(witness, sequence, boot, uptimeNanos, nowNanos)) {
            return List.of();
        }
        if (boots.clear(witness, evidenceNanos(witness))) {
            return List.of(extraHeartbeat(witness, nowNanos));
        }
        return refusalReceived(confirmed.get().revision(), nowNanos);
    }

    /** Returns the process that heartbeats to a witness name; {@link BootId#NONE} if no process of it may vote. */
    public BootId clearedBoot(MemberId witness) {
        return boots.clearedBoot(witness);
    }

    /** Returns the latest time for which there is evidence that the witness had not refused the present record. */
    private long evidenceNanos(MemberId witness) {
        OptionalLong votedNanos = votes.lastVoteNanos(witness);
        return votedNanos.isPresent() ? Nanos.later(votedNanos.getAsLong(), confirmedSentNanos) : confirmedSentNanos;
    }

    private HolderAction extraHeartbeat(MemberId witness, long nowNanos) {
        Revision revision = confirmed.orElseThrow().revision();
        return new HolderAction.SendHeartbeat(
                witness, revision, votes.extraHeartbeatSent(revision, nowNanos), boots.clearedBoot(witness));
    }

    /** Handles the notice that a witness refuses this member at a record revision; the record is then rewritten. */
    public List<HolderAction> refusalReceived(Revision recordRevision, long nowNanos) {
        if (recordRevision.isNewerThan(refusedUpTo)) {
            refusedUpTo = recordRevision;
        }
        return tick(nowNanos);
    }

    /** Handles a write that took effect and got a revision. */
    public List<HolderAction> writeSucceeded(long answeredOperation, Revision revision, long nowNanos) {
        observeSealable(nowNanos);
        if (!completeOperation(answeredOperation)) {
            return List.of();
        }
        storeReturn.observe(revision.era());
        PendingWrites.PendingWrite write = pendingWrites.latest();
        return confirm(new VersionedMember(write.record(), revision), write.sentAtNanos(), nowNanos);
    }

    /** Handles a write that had no effect and will have none. */
    public void writeFailed(long answeredOperation, long nowNanos) {
        if (completeOperation(answeredOperation)) {
            pendingWrites.removeLatest();
            backoff.failed(nowNanos);
        }
    }

    /** Handles a write without an answer: it may have taken effect or may still do so. */
    public List<HolderAction> writeUnanswered(long answeredOperation, long nowNanos) {
        return scheduleReadBack(answeredOperation, nowNanos);
    }

    /**
     * Handles a write that was rejected because the record had another revision than expected. It stays pending until
     * the record is read: a write delivered twice took effect, and then conflicts.
     */
    public List<HolderAction> writeConflicted(long answeredOperation, long nowNanos) {
        return scheduleReadBack(answeredOperation, nowNanos);
    }

    /**
     * Handles the result of reading the own record.
     *
     * @param read empty if the record does not exist
     */
    public List<HolderAction> readSucceeded(long answeredOperation, Optional<VersionedMember> read, long nowNanos) {
        observeSealable(nowNanos);
        if (!completeOperation(answeredOperation)) {
            return List.of();
        }
        read.ifPresent(record -> storeReturn.observe(record.revision().era()));
        if (isRecordOutdated()) {
            return recordReadInNewEra(read, nowNanos);
        }
        if (confirmed.isEmpty() && read.isEmpty() && storeReturn.isOutdated(inheritedRevision)) {
            inheritedRevision = Revision.NONE;
        }
        Revision knownRevision = confirmed.map(VersionedMember::revision).orElse(Revision.NONE);
        Revision foundRevision = read.map(VersionedMember::revision).orElse(Revision.NONE);
        if (confirmed.isEmpty() && mayResume && read.isPresent()) {
            return resume(read.get(), nowNanos);
        }
        if (foundRevision.equals(knownRevision)) {
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
        OptionalLong sentAtNanos = pendingWrites.earliestSendNanos(read.get().member());
        if (sentAtNanos.isEmpty()) {
            return end("replaced");
        }
        return confirm(read.get(), sentAtNanos.getAsLong(), nowNanos);
    }

    /**
     * Handles the record that the store has in a new era: an older one, or none. It is written again on the condition of
     * its new revision. Until that is confirmed, the confirmed record of the earlier era determines the lease.
     */
    private List<HolderAction> recordReadInNewEra(Optional<VersionedMember> read, long nowNanos) {
        OptionalLong sentAtNanos = read.map(found -> pendingWrites.earliestSendNanos(found.member()))
                .orElse(OptionalLong.empty());
        StoreReturn.Finding finding = storeReturn.recordRead(read, sentAtNanos.isPresent());
        boolean sealed = finding == StoreReturn.Finding.SEALED;
        if (sealed || (storeReturn.hasLapsed() && desired.state() != MemberState.SEALED)) {
            return end(sealed ? "sealed" : "store-returned");
        }
        if (finding == StoreReturn.Finding.WRITTEN) {
            return confirm(read.orElseThrow(), sentAtNanos.orElseThrow(), nowNanos);
        }
        writeOutcomeUnknown = finding == StoreReturn.Finding.OUTDATED;
        if (finding != StoreReturn.Finding.OTHER) {
            backoff.failed(nowNanos);
        }
        return tick(nowNanos);
    }

    /** Handles a failed read, which is repeated later. */
    public void readFailed(long answeredOperation, long nowNanos) {
        if (completeOperation(answeredOperation)) {
            backoff.failed(nowNanos);
        }
    }

    /**
     * Handles a record that was read while no write of this process is confirmed. The record is confirmed if it has the
     * content of a pending write of this process and an older inherited record is known. Otherwise it is treated as the
     * record of the earlier process, which the next write replaces.
     */
    private List<HolderAction> resume(VersionedMember inherited, long nowNanos) {
        if (inherited.member().state() == MemberState.SEALED) {
            return end("sealed");
        }
        OptionalLong sentAtNanos = pendingWrites.earliestSendNanos(inherited.member());
        if (sentAtNanos.isPresent()
                && inherited.revision().isNewerThan(inheritedRevision)
                && inherited.revision().era().equals(inheritedRevision.era())
                && !inheritedRevision.equals(Revision.NONE)) {
            return confirm(inherited, sentAtNanos.getAsLong(), nowNanos);
        }
        inheritedRevision = inherited.revision();
        writeOutcomeUnknown = false;
        return tick(nowNanos);
    }

    /** Handles the observation that the own record is sealed; ends the incarnation. */
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

    /** Marks the store operation in flight as completed; returns false if the answer is not for that operation. */
    private boolean completeOperation(long answeredOperation) {
        return !ended && operations.complete(answeredOperation);
    }

    private List<HolderAction> confirm(VersionedMember record, long sentAtNanos, long nowNanos) {
        confirmed = Optional.of(record);
        pendingWrites.clear();
        writeOutcomeUnknown = false;
        confirmedSentNanos = sentAtNanos;
        votes.recordStoreVote(sentAtNanos);
        storeReturn.recordConfirmed();
        observeSealable(nowNanos);
        backoff.succeeded(nowNanos);
        if (record.member().state() == MemberState.SEALED) {
            return end("self-sealed");
        }
        List<HolderAction> actions = new ArrayList<>();
        boots.uncleared().stream()
                .filter(witness -> boots.clear(witness, evidenceNanos(witness)))
                .forEach(witness -> actions.add(extraHeartbeat(witness, nowNanos)));
        actions.addAll(tick(nowNanos));
        return actions;
    }

    private List<HolderAction> end(String reason) {
        ended = true;
        return List.of(new HolderAction.End(reason));
    }

    private void sendHeartbeats(long nowNanos, List<HolderAction> actions) {
        Revision revision = confirmed.orElseThrow().revision();
        long sequence = votes.heartbeatSent(revision, nowNanos);
        for (MemberId witness : heartbeatTargets()) {
            actions.add(new HolderAction.SendHeartbeat(witness, revision, sequence, boots.clearedBoot(witness)));
        }
    }

    private Set<MemberId> heartbeatTargets() {
        Set<MemberId> targets =
                new LinkedHashSet<>(confirmed.orElseThrow().member().witnesses());
        pendingWrites.records().forEach(record -> targets.addAll(record.witnesses()));
        targets.addAll(desired.witnesses());
        votes.retainVotes(targets);
        boots.retain(targets);
        return targets;
    }

    private void startStoreOperation(long nowNanos, List<HolderAction> actions) {
        if (operations.isInFlight() || !backoff.isDue(nowNanos)) {
            return;
        }
        if (writeOutcomeUnknown || (isRecordOutdated() && storeReturn.position().isEmpty())) {
            actions.add(new HolderAction.ReadRecord(operations.start()));
            return;
        }
        Optional<Member> record = confirmed.isEmpty() ? Optional.of(desired) : nextRecord(confirmed.get(), nowNanos);
        if (record.isPresent()) {
            lastWriteNanos = OptionalLong.of(nowNanos);
            pendingWrites.add(record.get(), nowNanos);
            Revision expected = storeReturn
                    .position()
                    .orElseGet(() -> confirmed.map(VersionedMember::revision).orElse(inheritedRevision));
            actions.add(new HolderAction.WriteRecord(operations.start(), record.get(), expected));
        }
    }

    private Optional<Member> nextRecord(VersionedMember present, long nowNanos) {
        RecordWriteRule rule = new RecordWriteRule(timing, votes, present, desired, refusedUpTo, isRecordOutdated());
        return pendingWrites.isFull()
                ? Optional.of(pendingWrites.latest().record())
                : rule.recordToWrite(!pendingWrites.isEmpty(), validUntilNanos(), lastWriteNanos, nowNanos);
    }
}
