package org.coriandercrank.control.internal;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.RefusalAnswer;
import org.coriandercrank.kernel.message.RefusalRequest;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.lease.Takeover;
import org.coriandercrank.lease.TakeoverAction;

/** Detects members without recent contact and drives a {@link Takeover} for each of them. Control thread only. */
public final class TakeoverCoordinator {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_MS = 1_000_000;

    /** Limits the delay of takeovers in a large cluster. */
    private static final int MAX_RANK = 10;

    /**
     * A longer takeover is reported: it probably lacks witnesses that can refuse, and the keys of its member stay
     * unavailable until an operator intervenes.
     */
    private static final long STUCK_AFTER_NANOS = 10_000 * NANOS_PER_MS;

    private final ControlContext context;
    private final ClusterView view;
    private final ControlMetrics metrics;
    private final Map<MemberId, Takeover> running = new HashMap<>();
    private final Map<MemberId, Long> nextStuckReportNanos = new HashMap<>();
    private final WitnessService witnessService;
    private List<VersionedMember> eligibleMembers = List.of();
    private long eligibleSnapshotVersion = -1;
    private MemberId self;
    private long observedSinceNanos;

    public TakeoverCoordinator(ControlContext context, ClusterView view, ControlMetrics metrics, MemberId self) {
        this.context = context;
        this.view = view;
        this.metrics = metrics;
        this.self = self;
        this.observedSinceNanos = context.nowNanos();
        this.witnessService = new WitnessService(context, view, metrics, this::heartbeatAcknowledged);
    }

    /** Returns the witness of this daemon, whose acknowledgements show which members are alive. */
    public WitnessService witnessService() {
        return witnessService;
    }

    /** Sets a new member id of this daemon and drops the takeovers of its previous incarnation. */
    public void selfChanged(MemberId newSelf) {
        self = newSelf;
        running.clear();
    }

    /**
     * Handles the end of a pause of this process. Members may have sent heartbeats during the pause, so their silence
     * is measured from now on.
     */
    public void processResumed(long nowNanos) {
        observedSinceNanos = nowNanos;
        running.clear();
    }

    /**
     * Starts takeovers of members without recent contact and advances the running ones. In a new era of the store there
     * are none before the members have had time to write their records again.
     */
    public void tick(long nowNanos) {
        if (!context.eras().isSettled(nowNanos)) {
            running.clear();
            return;
        }
        refreshEligibleMembers();
        for (VersionedMember memberRecord : eligibleMembers) {
            if (isSuspect(memberRecord, nowNanos)
                    && !running.containsKey(memberRecord.member().id())) {
                start(memberRecord, nowNanos);
            }
        }
        for (Takeover takeover : List.copyOf(running.values())) {
            perform(takeover, takeover.tick(nowNanos));
            removeIfDone(takeover);
        }
        reportStuck(nowNanos);
    }

    /** Returns the members whose takeover is running. */
    public List<MemberId> runningTakeovers() {
        return running.keySet().stream().sorted().toList();
    }

    private void reportStuck(long nowNanos) {
        nextStuckReportNanos.keySet().retainAll(running.keySet());
        for (Takeover takeover : running.values()) {
            Member member = takeover.target().member();
            Long reportAtNanos = nextStuckReportNanos.putIfAbsent(member.id(), nowNanos + STUCK_AFTER_NANOS);
            if (reportAtNanos != null && nowNanos - reportAtNanos >= 0) {
                nextStuckReportNanos.put(member.id(), nowNanos + STUCK_AFTER_NANOS);
                logger.atWarning().log(
                        "event=takeover-stuck member=%s revision=%s refusals=%d witnesses=%s",
                        member.id(), takeover.target().revision(), takeover.refusalCount(), member.witnesses());
            }
        }
    }

    /** Passes newer records to the running takeovers and drops those that this daemon may no longer carry out. */
    public void viewChanged(RoutingSnapshot snapshot) {
        long nowNanos = context.nowNanos();
        for (Takeover takeover : List.copyOf(running.values())) {
            MemberId member = takeover.target().member().id();
            VersionedMember memberRecord = snapshot.members().get(member);
            if (memberRecord == null || !mayTakeOver(memberRecord.member())) {
                running.remove(member);
            } else {
                takeover.recordUpdated(memberRecord, nowNanos);
                removeIfDone(takeover);
            }
        }
    }

    private void heartbeatAcknowledged(MemberId member) {
        if (running.remove(member) != null) {
            context.log(() -> "event=takeover-dropped member=" + member + " reason=heard-of");
        }
    }

    /** Determines the members that this daemon may take over; only a new snapshot changes them. */
    private void refreshEligibleMembers() {
        if (view.snapshotVersion() != eligibleSnapshotVersion) {
            eligibleSnapshotVersion = view.snapshotVersion();
            eligibleMembers = view.current().members().values().stream()
                    .filter(memberRecord -> !memberRecord.member().id().equals(self))
                    .filter(memberRecord -> memberRecord.member().state() != MemberState.SEALED)
                    .filter(memberRecord -> mayTakeOver(memberRecord.member()))
                    .toList();
        }
    }

    private boolean isSuspect(VersionedMember memberRecord, long nowNanos) {
        return nowNanos - lastContactNanos(memberRecord.member().id())
                > context.options().leaseTiming().expiryNanos();
    }

    /** Whether this daemon is a witness of the member. Any daemon may take over a member without witnesses. */
    private boolean mayTakeOver(Member member) {
        return member.witnesses().isEmpty() || member.witnesses().contains(self);
    }

    /**
     * Returns the time of the last contact with a member. A new revision of its record counts as a contact too; it is
     * the only one for a member without witnesses.
     */
    private long lastContactNanos(MemberId member) {
        long latestNanos = observedSinceNanos;
        for (OptionalLong candidate : List.of(view.revisionSeenNanos(member), witnessService.lastAckNanos(member))) {
            if (candidate.isPresent() && candidate.getAsLong() - latestNanos > 0) {
                latestNanos = candidate.getAsLong();
            }
        }
        return latestNanos;
    }

    private void start(VersionedMember memberRecord, long nowNanos) {
        Member member = memberRecord.member();
        int rank = rank(member);
        long delayNanos = TimeUnit.MILLISECONDS.toNanos(rank * context.options().takeoverRankDelayMs());
        long knownSinceNanos = view.revisionSeenNanos(member.id()).orElse(nowNanos);
        running.put(
                member.id(),
                new Takeover(context.options().leaseTiming(), memberRecord, knownSinceNanos, nowNanos + delayNanos));
        context.log(() -> "event=takeover-start member=" + member.id() + " revision=" + memberRecord.revision()
                + " rank=" + rank + " witnesses=" + member.witnesses());
    }

    /** Returns the position of this daemon among the members that may take over the member. */
    private int rank(Member member) {
        int index = member.witnesses().indexOf(self);
        if (index < 0) {
            index = RendezvousHash.order(
                            member.id().value(), view.current().members().keySet())
                    .indexOf(self);
        }
        return Math.min(Math.max(index, 0), MAX_RANK);
    }

    private void perform(Takeover takeover, List<TakeoverAction> actions) {
        for (TakeoverAction action : actions) {
            if (action instanceof TakeoverAction.RequestRefusal request) {
                sendRefusalRequest(takeover, request);
            } else if (action instanceof TakeoverAction.Seal seal) {
                seal(takeover, seal);
            } else if (action instanceof TakeoverAction.ReadRecord read) {
                read(takeover, read);
            }
        }
    }

    private void sendRefusalRequest(Takeover takeover, TakeoverAction.RequestRefusal action) {
        RefusalRequest request = new RefusalRequest(
                takeover.target().member().id(), action.recordRevision(), action.knownForNanos() / NANOS_PER_MS);
        if (action.witness().equals(self)) {
            refusalAnswered(takeover, action, witnessService.handleRefusalRequest(self, self, request));
            return;
        }
        view.member(action.witness()).ifPresent(witness -> {
            long timeoutMs = context.options().heartbeatMs();
            PeerTarget target = PeerTarget.of(witness.member());
            context.callWithTimeout(
                    () -> context.dependencies().peerClient().call(target, request, RefusalAnswer.class, timeoutMs),
                    timeoutMs,
                    (answer, failure) -> {
                        if (failure == null && answer.witness().equals(action.witness())) {
                            refusalAnswered(takeover, action, answer);
                        }
                    });
        });
    }

    private void refusalAnswered(Takeover takeover, TakeoverAction.RequestRefusal action, RefusalAnswer answer) {
        if (isRunning(takeover)) {
            Revision revision = action.recordRevision();
            long retryAfterNanos = answer.retryAfterMs() * NANOS_PER_MS;
            perform(
                    takeover,
                    takeover.refusalAnswered(
                            action.witness(), revision, answer.granted(), retryAfterNanos, context.nowNanos()));
        }
    }

    private void seal(Takeover takeover, TakeoverAction.Seal seal) {
        MemberId member = seal.sealed().id();
        context.log(() -> "event=seal-attempt member=" + member + " revision=" + seal.expected() + " refusals="
                + takeover.refusalCount());
        context.callWithTimeout(
                () -> context.dependencies()
                        .store()
                        .put(ObjectNames.member(member), JsonCodec.encode(seal.sealed()), seal.expected()),
                context.options().storeTimeoutMs(),
                (revision, failure) -> {
                    if (failure == null) {
                        metrics.memberSealed();
                        context.log(() -> "event=sealed member=" + member + " revision=" + revision + " taker=" + self);
                        takeover.sealSucceeded(seal.operation(), revision, context.nowNanos());
                        view.applyMember(new VersionedMember(seal.sealed(), revision));
                    } else {
                        sealFailed(takeover, seal, failure);
                    }
                    removeIfDone(takeover);
                });
    }

    private void sealFailed(Takeover takeover, TakeoverAction.Seal seal, CrankException failure) {
        context.log(() -> "event=seal-failed member=" + seal.sealed().id() + " revision=" + seal.expected() + " code="
                + failure.code());
        if (failure.code() == ResultCode.STORE_UNAVAILABLE) {
            takeover.storeFailed(seal.operation(), context.nowNanos());
        } else if (isRunning(takeover)) {
            perform(takeover, takeover.sealNotConfirmed(seal.operation(), context.nowNanos()));
        }
    }

    private void read(Takeover takeover, TakeoverAction.ReadRecord read) {
        MemberId member = takeover.target().member().id();
        context.callWithTimeout(
                () -> context.dependencies()
                        .store()
                        .get(ObjectNames.member(member))
                        .thenApply(object -> object.map(Membership::decode)),
                context.options().storeTimeoutMs(),
                (found, failure) -> {
                    long nowNanos = context.nowNanos();
                    if (failure != null) {
                        takeover.storeFailed(read.operation(), nowNanos);
                    } else {
                        takeover.readSucceeded(read.operation(), found, nowNanos);
                        found.ifPresent(view::applyMember);
                    }
                    removeIfDone(takeover);
                });
    }

    private boolean isRunning(Takeover takeover) {
        return running.get(takeover.target().member().id()) == takeover;
    }

    private void removeIfDone(Takeover takeover) {
        if (takeover.state() != Takeover.State.RUNNING && isRunning(takeover)) {
            MemberId member = takeover.target().member().id();
            running.remove(member);
            context.log(() -> "event=takeover-end member=" + member + " state=" + takeover.state());
        }
    }
}
