package org.coriandercrank.control.internal;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.control.IncarnationListener;
import org.coriandercrank.control.JoinParameters;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.Heartbeat;
import org.coriandercrank.kernel.message.HeartbeatAck;
import org.coriandercrank.kernel.ownership.LeaseView;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.lease.HolderAction;
import org.coriandercrank.lease.LeaseHolder;

/**
 * The membership and lease of one incarnation of this daemon: drives a {@link LeaseHolder} and chooses its witnesses.
 *
 * <p>Invariant: the published lease end is that of the holder after its latest event, and is published before the actions
 * of the event are carried out. Times are those of the holder clock. {@link #validUntilNanos} is thread safe; all else runs on the control thread. A member
 * that was sealed stays so; the daemon joins again with a new instance.
 */
public final class Membership implements LeaseView {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long WITNESS_REVIEW_NANOS = 200 * NANOS_PER_MS;

    private final ControlContext context;
    private final ClusterView view;
    private final Dissemination dissemination;
    private final ControlMetrics metrics;
    private final IncarnationListener incarnationListener;
    private final MemberId id;
    private final boolean mayResume;
    private final Map<MemberId, Long> selectedNanos = new HashMap<>();
    private final Map<MemberId, Long> suspectUntilNanos = new HashMap<>();
    private final long startedNanos;
    private final CompletableFuture<Void> leaveFuture = new CompletableFuture<>();
    private final CompletableFuture<Void> sealFuture = new CompletableFuture<>();
    private Optional<LeaseHolder> holder = Optional.empty();
    private Member desired;
    private long lastReviewNanos;
    private long lastReviewVersion;
    private Set<MemberId> lastReviewSuspects = Set.of();
    private long nextRebalanceNanos;
    private long lastHeartbeatNanos;
    private long observedSinceNanos;
    private boolean abandoned;
    private volatile long validUntilNanos;

    public Membership(
            ControlContext context,
            JoinParameters parameters,
            ClusterView view,
            Dissemination dissemination,
            ControlMetrics metrics,
            IncarnationListener incarnationListener) {
        this.context = context;
        this.id = parameters.id();
        this.mayResume = parameters.mayResume();
        this.view = view;
        this.dissemination = dissemination;
        this.metrics = metrics;
        this.incarnationListener = incarnationListener;
        long now = context.leaseNowNanos();
        this.startedNanos = now;
        this.validUntilNanos = now;
        this.observedSinceNanos = now;
        this.lastReviewNanos = now;
        this.nextRebalanceNanos = now + rebalanceDelayNanos();
        this.desired = new Member(
                id,
                context.identity().peerAddress(),
                context.identity().callerAddress(),
                context.identity().adminAddress(),
                context.identity().region(),
                context.identity().failureDomain(),
                MemberState.JOINING,
                Optional.empty(),
                List.of());
    }

    @Override
    public long validUntilNanos() {
        return validUntilNanos;
    }

    public boolean mayResume() {
        return mayResume;
    }

    public MemberId id() {
        return id;
    }

    /** The record as this daemon wants it; its witnesses may not be in force yet. */
    public Member desired() {
        return desired;
    }

    public boolean isEnded() {
        return abandoned || holder.map(LeaseHolder::isEnded).orElse(false);
    }

    /** Whether the daemon has begun to write its record. */
    public boolean isStarted() {
        return holder.isPresent();
    }

    public boolean isJoined() {
        return holder.flatMap(LeaseHolder::confirmed).isPresent();
    }

    public Optional<VersionedMember> confirmed() {
        return holder.flatMap(LeaseHolder::confirmed);
    }

    public OptionalLong lastVoteNanos(MemberId witness) {
        return holder.map(h -> h.lastVoteNanos(witness)).orElse(OptionalLong.empty());
    }

    /** Members that do not answer this daemon. */
    public Set<MemberId> suspects() {
        return new HashSet<>(suspectUntilNanos.keySet());
    }

    /** The process did not run for a while, so the silence of others until now means nothing. */
    public void processResumed(long nowNanos) {
        observedSinceNanos = nowNanos;
    }

    /** Evaluates the lease, then does what is due. Joins once the store has been listed. */
    public void tick(long nowNanos) {
        if (holder.isEmpty()) {
            boolean stopped = leaveFuture.isDone() || sealFuture.isDone();
            if (dissemination.isListed() && !stopped) {
                join(nowNanos);
            }
            return;
        }
        LeaseHolder lease = holder.get();
        perform(lease.tick(nowNanos));
        if (nowNanos - lastReviewNanos >= WITNESS_REVIEW_NANOS && !lease.isEnded()) {
            lastReviewNanos = nowNanos;
            reviewWitnesses(nowNanos);
        }
        long spacingNanos = TimeUnit.MILLISECONDS.toNanos(context.options().minPushIntervalMs());
        if (nowNanos - lastHeartbeatNanos >= spacingNanos && dissemination.consumePushPending()) {
            perform(lease.heartbeatNow(nowNanos));
        }
    }

    /** A backend server announced itself; an unchanged announcement has no effect. */
    public void backendAnnounced(BackendInfo backend) {
        if (desired.state() == MemberState.JOINING || desired.state() == MemberState.ACTIVE) {
            updateDesired(desired.withBackend(backend).withState(MemberState.ACTIVE));
        }
    }

    /** Asks for no new ranges; done when the record says so. Before the join it prevents the join. */
    public CompletableFuture<Void> leave() {
        if (holder.isEmpty()) {
            leaveFuture.complete(null);
        }
        if (desired.state() == MemberState.JOINING || desired.state() == MemberState.ACTIVE) {
            updateDesired(desired.withState(MemberState.LEAVING));
        }
        return leaveFuture;
    }

    /** Ends the lease at once and seals the own record; done when it is sealed. */
    public CompletableFuture<Void> sealSelf() {
        if (holder.isEmpty()) {
            sealFuture.complete(null);
        }
        updateDesired(desired.withState(MemberState.SEALED));
        return sealFuture;
    }

    /** Gives up the lease without writing; results of calls that are still on their way change nothing. */
    public void abandon() {
        abandoned = true;
        validUntilNanos = startedNanos;
        leaveFuture.complete(null);
        sealFuture.complete(null);
    }

    /** A witness refused this member. */
    public void refusalReceived(Revision recordRevision, long nowNanos) {
        context.log(() -> "event=refusal-received member=" + id + " revision=" + recordRevision);
        holder.ifPresent(lease -> perform(lease.refusalReceived(recordRevision, nowNanos)));
    }

    /** Looks for a seal of the own record in the view. */
    public void viewChanged() {
        Optional<VersionedMember> own = view.member(id);
        if (own.isPresent() && own.get().member().state() == MemberState.SEALED) {
            holder.ifPresent(lease -> perform(lease.recordSealed()));
        }
    }

    private void join(long nowNanos) {
        desired = desired.withWitnesses(chooseWitnesses(false));
        holder = Optional.of(new LeaseHolder(context.options().leaseTiming(), desired, nowNanos, mayResume));
        updateSelectionTimes(nowNanos);
        context.log(
                () -> "event=join member=" + id + " state=" + desired.state() + " witnesses=" + desired.witnesses());
        perform(holder.get().tick(nowNanos));
    }

    private void updateDesired(Member record) {
        if (record.equals(desired)) {
            return;
        }
        desired = record;
        holder.ifPresent(lease -> {
            lease.setDesired(record);
            perform(lease.tick(context.leaseNowNanos()));
        });
    }

    private void reviewWitnesses(long nowNanos) {
        suspectUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        long lostNanos = TimeUnit.MILLISECONDS.toNanos(context.options().witnessTimeoutMs());
        long retryNanos = TimeUnit.MILLISECONDS.toNanos(context.options().witnessRetryDelayMs());
        for (MemberId witness : desired.witnesses()) {
            if (nowNanos - lastContactNanos(witness) > lostNanos) {
                suspectUntilNanos.put(witness, nowNanos + retryNanos);
            } else {
                suspectUntilNanos.remove(witness);
            }
        }
        boolean rebalance = nowNanos - nextRebalanceNanos >= 0;
        if (rebalance) {
            nextRebalanceNanos = nowNanos + rebalanceDelayNanos();
        }
        long version = view.snapshotVersion();
        Set<MemberId> suspects = suspects();
        if (!rebalance && version == lastReviewVersion && suspects.equals(lastReviewSuspects)) {
            return;
        }
        lastReviewVersion = version;
        lastReviewSuspects = suspects;
        List<MemberId> witnesses = chooseWitnesses(rebalance);
        if (!witnesses.equals(desired.witnesses())) {
            context.log(() -> "event=witness-change member=" + id + " from=" + desired.witnesses() + " to=" + witnesses
                    + " suspects=" + suspectUntilNanos.keySet());
            updateDesired(desired.withWitnesses(witnesses));
            updateSelectionTimes(nowNanos);
        }
    }

    /** Latest of the vote of a witness, its choice, and the time from which its silence counts. */
    private long lastContactNanos(MemberId witness) {
        long contact = observedSinceNanos;
        Long selected = selectedNanos.get(witness);
        if (selected != null && selected - contact > 0) {
            contact = selected;
        }
        OptionalLong voted = lastVoteNanos(witness);
        if (voted.isPresent() && voted.getAsLong() - contact > 0) {
            contact = voted.getAsLong();
        }
        return contact;
    }

    private void updateSelectionTimes(long nowNanos) {
        selectedNanos.keySet().retainAll(desired.witnesses());
        desired.witnesses().forEach(witness -> selectedNanos.putIfAbsent(witness, nowNanos));
    }

    private List<MemberId> chooseWitnesses(boolean rebalance) {
        List<Member> others = view.current().members().values().stream()
                .map(VersionedMember::member)
                .filter(member -> !member.id().equals(id))
                .filter(member -> member.state() == MemberState.ACTIVE || member.state() == MemberState.JOINING)
                .toList();
        return WitnessSelector.select(desired, others, suspectUntilNanos.keySet(), desired.witnesses(), rebalance);
    }

    private long rebalanceDelayNanos() {
        return TimeUnit.MILLISECONDS.toNanos(
                context.jitteredMs(context.options().rebalanceIntervalMs()));
    }

    private void perform(List<HolderAction> actions) {
        if (abandoned) {
            return;
        }
        validUntilNanos = holder.orElseThrow().validUntilNanos();
        for (HolderAction action : actions) {
            if (action instanceof HolderAction.SendHeartbeat heartbeat) {
                sendHeartbeat(heartbeat);
            } else if (action instanceof HolderAction.WriteRecord write) {
                writeRecord(write);
            } else if (action instanceof HolderAction.ReadRecord read) {
                readRecord(read);
            } else if (action instanceof HolderAction.End end) {
                incarnationEnded(end.reason());
            }
        }
    }

    private void sendHeartbeat(HolderAction.SendHeartbeat action) {
        lastHeartbeatNanos = context.leaseNowNanos();
        view.member(action.witness()).ifPresent(record -> {
            metrics.heartbeatSent();
            PeerTarget target = PeerTarget.of(record.member());
            Heartbeat heartbeat = new Heartbeat(id, action.recordRevision(), action.sequence(), view.digest());
            long timeoutMs = context.options().ttlMs();
            context.callWithTimeout(
                    () -> context.dependencies().peers().call(target, heartbeat, HeartbeatAck.class, timeoutMs),
                    timeoutMs,
                    (ack, failure) -> {
                        if (failure == null && ack.witness().equals(action.witness())) {
                            heartbeatAnswered(ack);
                        }
                    });
        });
    }

    private void heartbeatAnswered(HeartbeatAck ack) {
        suspectUntilNanos.remove(ack.witness());
        perform(holder.orElseThrow()
                .heartbeatAnswered(ack.witness(), ack.sequence(), ack.granted(), context.leaseNowNanos()));
        dissemination.digestReceived(ack.witness(), ack.digest());
    }

    private void writeRecord(HolderAction.WriteRecord write) {
        LeaseHolder lease = holder.orElseThrow();
        metrics.recordWritten();
        context.callWithTimeout(
                () -> context.dependencies()
                        .store()
                        .put(ObjectNames.member(id), JsonCodec.encode(write.record()), write.expected()),
                context.options().storeTimeoutMs(),
                (revision, failure) -> {
                    long now = context.leaseNowNanos();
                    if (failure == null) {
                        perform(lease.writeSucceeded(write.operation(), revision, now));
                        view.applyMember(new VersionedMember(write.record(), revision));
                        recordConfirmed();
                    } else {
                        writeFailed(lease, write, failure, now);
                    }
                });
    }

    private void writeFailed(LeaseHolder lease, HolderAction.WriteRecord write, CrankException failure, long now) {
        context.log(() ->
                "event=record-write-failed member=" + id + " expected=" + write.expected() + " code=" + failure.code());
        if (failure.code() == ResultCode.STORE_UNAVAILABLE) {
            lease.writeFailed(write.operation(), now);
            perform(List.of());
        } else if (failure.code() == ResultCode.REVISION_CONFLICT) {
            perform(lease.writeConflicted(write.operation(), now));
        } else {
            perform(lease.writeUnanswered(write.operation(), now));
        }
    }

    private void readRecord(HolderAction.ReadRecord read) {
        LeaseHolder lease = holder.orElseThrow();
        context.callWithTimeout(
                () -> context.dependencies()
                        .store()
                        .get(ObjectNames.member(id))
                        .thenApply(object -> object.map(Membership::decode)),
                context.options().storeTimeoutMs(),
                (found, failure) -> {
                    long now = context.leaseNowNanos();
                    if (failure != null) {
                        lease.readFailed(read.operation(), now);
                        return;
                    }
                    found.ifPresent(view::applyMember);
                    perform(lease.readSucceeded(read.operation(), found, now));
                    recordConfirmed();
                });
    }

    static VersionedMember decode(StoredObject object) {
        return new VersionedMember(JsonCodec.decode(object.value(), Member.class), object.revision());
    }

    private void recordConfirmed() {
        confirmed().map(VersionedMember::member).ifPresent(record -> {
            context.log(() -> "event=record-confirmed member=" + id + " revision="
                    + confirmed().orElseThrow().revision() + " state=" + record.state() + " witnesses="
                    + record.witnesses());
            if (record.state() == MemberState.LEAVING) {
                leaveFuture.complete(null);
            }
        });
    }

    private void incarnationEnded(String reason) {
        metrics.incarnationEnded();
        logger.atInfo().log("event=incarnation-ended member=%s reason=%s", id, reason);
        leaveFuture.complete(null);
        sealFuture.complete(null);
        if (desired.state() != MemberState.SEALED) {
            incarnationListener.incarnationEnded(id, reason);
        }
    }
}
