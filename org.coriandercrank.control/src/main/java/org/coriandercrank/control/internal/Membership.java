package org.coriandercrank.control.internal;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.coriandercrank.control.IncarnationListener;
import org.coriandercrank.control.JoinParameters;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.Heartbeat;
import org.coriandercrank.kernel.message.HeartbeatAck;
import org.coriandercrank.kernel.message.WitnessBoot;
import org.coriandercrank.kernel.ownership.LeaseView;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.CrashReports;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.lease.HolderAction;
import org.coriandercrank.lease.LeaseHolder;

/**
 * Membership and lease of one incarnation of this daemon: drives a {@link LeaseHolder} and selects its witnesses.
 *
 * <p>A sealed incarnation stays sealed; the daemon rejoins with a new instance of this class.
 *
 * <p>Invariant: the published expiry of the lease is that of the holder after its latest event, and it is published
 * before the actions of the event are carried out. {@link #validUntilNanos} is thread safe; all other methods must be
 * called on the control thread. Times are those of the lease clock.
 */
public final class Membership implements LeaseView {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long WITNESS_REVIEW_INTERVAL_NANOS = 200 * NANOS_PER_MS;

    /** After an outage of the store, all daemons must learn within seconds which requests crash servers. */
    private static final long MAX_CRASH_REPORT_RETRY_NANOS = 500 * NANOS_PER_MS;

    private final ControlContext context;
    private final ClusterView view;
    private final Dissemination dissemination;
    private final ControlMetrics metrics;
    private final Supplier<Optional<CrashReports>> crashReports;
    private final IncarnationListener incarnationListener;
    private final MemberId id;
    private final boolean mayResume;
    private final CompletableFuture<Void> formerGrantsEnded;
    private final WitnessReview witnessReview;
    private final CrashReportPush crashReportPush;
    private final long startedNanos;
    private final CompletableFuture<Void> leaveFuture = new CompletableFuture<>();
    private final CompletableFuture<Void> sealFuture = new CompletableFuture<>();
    private Optional<LeaseHolder> holder = Optional.empty();
    private Member desired;
    private long lastReviewNanos;
    private long lastHeartbeatNanos;
    private boolean abandoned;
    private boolean sealSeen;
    private volatile long validUntilNanos;

    /** @param crashReports supplies the crash reports that the record must have */
    public Membership(
            ControlContext context,
            JoinParameters parameters,
            ClusterView view,
            Dissemination dissemination,
            ControlMetrics metrics,
            Supplier<Optional<CrashReports>> crashReports,
            IncarnationListener incarnationListener) {
        this.context = context;
        this.id = parameters.id();
        this.mayResume = parameters.mayResume();
        this.formerGrantsEnded = parameters.formerGrantsEnded();
        this.view = view;
        this.dissemination = dissemination;
        this.metrics = metrics;
        this.crashReports = crashReports;
        this.incarnationListener = incarnationListener;
        long nowNanos = context.leaseNowNanos();
        this.startedNanos = nowNanos;
        this.validUntilNanos = nowNanos;
        this.crashReportPush = new CrashReportPush(context, view);
        this.witnessReview = new WitnessReview(context, view, this::lastVoteNanos, nowNanos);
        this.lastReviewNanos = nowNanos;
        this.desired = new Member(
                id,
                context.identity().peerAddress(),
                context.identity().callerAddress(),
                context.identity().adminAddress(),
                context.identity().region(),
                context.identity().failureDomain(),
                MemberState.JOINING,
                Optional.empty(),
                List.of(),
                crashReports.get());
    }

    @Override
    public long validUntilNanos() {
        return validUntilNanos;
    }

    public boolean mayResume() {
        return mayResume;
    }

    /** Completes when no grant of the former members of this process can be used any more. */
    CompletableFuture<Void> formerGrantsEnded() {
        return formerGrantsEnded;
    }

    public MemberId id() {
        return id;
    }

    /** Returns the record that this daemon tries to write; its witnesses may not be in force yet. */
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

    /** Whether the record is known to be in the store. */
    public boolean isJoined() {
        return holder.flatMap(LeaseHolder::confirmed).isPresent();
    }

    /** Whether this member will not join, because it left or ended before its record was written. */
    public boolean isJoinCancelled() {
        return holder.isEmpty() && (sealFuture.isDone() || (leaveFuture.isDone() && !isResumed()));
    }

    /** Whether an earlier process has left a record of this member, which nobody else may be able to end. */
    private boolean isResumed() {
        return mayResume
                && view.member(id)
                        .filter(record -> record.member().state() != MemberState.SEALED)
                        .isPresent();
    }

    public Optional<VersionedMember> confirmed() {
        return holder.flatMap(LeaseHolder::confirmed);
    }

    public OptionalLong lastVoteNanos(MemberId witness) {
        return holder.map(h -> h.lastVoteNanos(witness)).orElse(OptionalLong.empty());
    }

    /** Returns the members that do not answer this daemon. */
    public Set<MemberId> suspects() {
        return witnessReview.suspects();
    }

    /**
     * Handles the end of a pause of this process. Witnesses may have answered during the pause, so their silence is
     * measured from now on.
     */
    public void processResumed(long nowNanos) {
        witnessReview.restartObservation(nowNanos);
    }

    /** Joins once the store has been listed; after that, evaluates the lease and then runs the work that is due. */
    public void tick(long nowNanos) {
        if (holder.isEmpty()) {
            if (dissemination.isListed() && !isJoinCancelled()) {
                join(nowNanos);
            }
            return;
        }
        LeaseHolder lease = holder.get();
        if (areCrashReportsUnpublished()) {
            lease.limitBackoff(MAX_CRASH_REPORT_RETRY_NANOS, nowNanos);
        }
        perform(lease.eraObserved(context.eras().era(), nowNanos));
        perform(lease.tick(nowNanos));
        if (nowNanos - lastReviewNanos >= WITNESS_REVIEW_INTERVAL_NANOS && !lease.isEnded()) {
            lastReviewNanos = nowNanos;
            witnessReview.review(desired, nowNanos).ifPresent(this::changeWitnesses);
        }
        long minIntervalNanos = TimeUnit.MILLISECONDS.toNanos(context.options().minPushIntervalMs());
        if (nowNanos - lastHeartbeatNanos >= minIntervalNanos && dissemination.consumePushPending()) {
            perform(lease.heartbeatNow(nowNanos));
        }
    }

    private boolean areCrashReportsUnpublished() {
        return !desired.crashReports()
                .equals(confirmed().flatMap(record -> record.member().crashReports()));
    }

    /** Handles the announcement of a backend server; an unchanged announcement has no effect. */
    public void backendAnnounced(BackendInfo backend) {
        if (desired.state() == MemberState.JOINING || desired.state() == MemberState.ACTIVE) {
            updateDesired(desired.withBackend(backend).withState(MemberState.ACTIVE));
        }
    }

    /** Writes the crash reports to the record if they have changed. */
    public void crashReportsChanged() {
        if (desired.state() != MemberState.SEALED && !isEnded()) {
            updateDesired(desired.withCrashReports(crashReports.get()));
        }
    }

    /**
     * Sets the state to leaving; the future completes when the record has that state. Before the join it prevents the join,
     * unless an earlier process has left the record, which must state that the member leaves.
     */
    public CompletableFuture<Void> leave() {
        if (holder.isEmpty() && !isResumed()) {
            leaveFuture.complete(null);
        }
        if (desired.state() == MemberState.JOINING || desired.state() == MemberState.ACTIVE) {
            updateDesired(desired.withState(MemberState.LEAVING));
        }
        return leaveFuture;
    }

    /** Invalidates the lease immediately and seals the own record; the future completes when the record is sealed. */
    public CompletableFuture<Void> sealSelf() {
        if (holder.isEmpty()) {
            sealFuture.complete(null);
        }
        updateDesired(desired.withState(MemberState.SEALED));
        return sealFuture;
    }

    /** Gives up the lease without a write to the store; results of calls in flight then have no effect. */
    public void abandon() {
        abandoned = true;
        validUntilNanos = startedNanos;
        leaveFuture.complete(null);
        sealFuture.complete(null);
    }

    /** Handles the notice that a witness refuses this member at a record revision. */
    public void refusalReceived(Revision recordRevision, long nowNanos) {
        context.log(() -> "event=refusal-received member=" + id + " revision=" + recordRevision);
        holder.ifPresent(lease -> perform(lease.refusalReceived(recordRevision, nowNanos)));
    }

    /** Ends the incarnation if its record is sealed in the view, also one that has not joined yet. */
    public void viewChanged() {
        Optional<VersionedMember> own = view.member(id);
        if (own.isPresent() && own.get().member().state() == MemberState.SEALED) {
            sealSeen = true;
            holder.ifPresent(lease -> perform(lease.recordSealed()));
        }
    }

    private void join(long nowNanos) {
        desired = desired.withWitnesses(witnessReview.select(desired, false)).withCrashReports(crashReports.get());
        if (mayResume && isLeavingInView()) {
            desired = desired.withState(MemberState.LEAVING);
        }
        holder = Optional.of(new LeaseHolder(context.options().leaseTiming(), desired, nowNanos, mayResume));
        witnessReview.witnessesChanged(desired.witnesses(), nowNanos);
        context.log(
                () -> "event=join member=" + id + " state=" + desired.state() + " witnesses=" + desired.witnesses());
        perform(sealSeen ? holder.get().recordSealed() : holder.get().tick(nowNanos));
    }

    /** Whether an earlier process has announced that the server of this member will end. */
    private boolean isLeavingInView() {
        return view.member(id)
                .map(record -> record.member().state() == MemberState.LEAVING)
                .orElse(false);
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

    private void changeWitnesses(List<MemberId> witnesses) {
        context.log(() -> "event=witness-change member=" + id + " from=" + desired.witnesses() + " to=" + witnesses
                + " suspects=" + suspects());
        updateDesired(desired.withWitnesses(witnesses));
        witnessReview.witnessesChanged(witnesses, context.leaseNowNanos());
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
            Heartbeat heartbeat =
                    new Heartbeat(id, action.recordRevision(), action.sequence(), view.digest(), action.witnessBoot());
            long timeoutMs = context.options().ttlMs();
            context.callWithTimeout(
                    () -> context.dependencies().peerClient().call(target, heartbeat, HeartbeatAck.class, timeoutMs),
                    timeoutMs,
                    (ack, failure) -> {
                        if (failure != null) {
                            dissemination.peerDidNotAnswer(action.witness());
                        } else if (ack.witness().equals(action.witness())) {
                            heartbeatAnswered(ack);
                        }
                    });
        });
    }

    private void heartbeatAnswered(HeartbeatAck ack) {
        witnessReview.answered(ack.witness());
        long nowNanos = context.leaseNowNanos();
        LeaseHolder lease = holder.orElseThrow();
        if (ack.otherBoot().isPresent()) {
            otherBootAnswered(lease, ack, ack.otherBoot().get(), nowNanos);
        } else {
            perform(lease.heartbeatAnswered(ack.witness(), ack.sequence(), ack.granted(), nowNanos));
        }
        dissemination.digestReceived(ack.witness(), ack.digest());
    }

    private void otherBootAnswered(LeaseHolder lease, HeartbeatAck ack, WitnessBoot boot, long nowNanos) {
        long uptimeNanos = TimeUnit.MILLISECONDS.toNanos(boot.uptimeMs());
        List<HolderAction> actions =
                lease.otherBootAnswered(ack.witness(), ack.sequence(), boot.boot(), uptimeNanos, nowNanos);
        context.log(() -> "event=witness-boot member=" + id + " witness=" + ack.witness() + " boot=" + boot.boot()
                + " uptimeMs=" + boot.uptimeMs() + " cleared="
                + lease.clearedBoot(ack.witness()).equals(boot.boot()));
        perform(actions);
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
                    long nowNanos = context.leaseNowNanos();
                    if (failure == null) {
                        VersionedMember written = new VersionedMember(write.record(), revision);
                        perform(lease.writeSucceeded(write.operation(), revision, nowNanos));
                        view.applyMember(written);
                        recordConfirmed();
                        crashReportPush.recordWritten(written);
                    } else {
                        writeFailed(lease, write, failure, nowNanos);
                    }
                });
    }

    private void writeFailed(LeaseHolder lease, HolderAction.WriteRecord write, CrankException failure, long nowNanos) {
        context.log(() ->
                "event=record-write-failed member=" + id + " expected=" + write.expected() + " code=" + failure.code());
        if (failure.code() == ResultCode.STORE_UNAVAILABLE) {
            lease.writeFailed(write.operation(), nowNanos);
            perform(List.of());
        } else if (failure.code() == ResultCode.REVISION_CONFLICT) {
            perform(lease.writeConflicted(write.operation(), nowNanos));
        } else {
            dissemination.storeDidNotAnswer();
            perform(lease.writeUnanswered(write.operation(), nowNanos));
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
                    long nowNanos = context.leaseNowNanos();
                    if (failure != null) {
                        dissemination.storeDidNotAnswer();
                        lease.readFailed(read.operation(), nowNanos);
                        return;
                    }
                    found.ifPresent(view::applyMember);
                    perform(lease.readSucceeded(read.operation(), found, nowNanos));
                    recordConfirmed();
                });
    }

    /** Decodes a member record from its stored form. */
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
