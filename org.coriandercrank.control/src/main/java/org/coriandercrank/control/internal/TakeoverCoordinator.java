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

/** Finds members that are no longer heard of and drives a {@link Takeover} for each. Control thread only. */
public final class TakeoverCoordinator {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int MAX_RANK = 10;

    /** A longer takeover probably lacks witnesses that can refuse, and its member's keys wait for an operator. */
    private static final long STUCK_NANOS = 10_000 * NANOS_PER_MS;

    private final ControlContext context;
    private final ClusterView view;
    private final ControlMetrics metrics;
    private final Map<MemberId, Takeover> running = new HashMap<>();
    private final Map<MemberId, Long> stuckAtNanos = new HashMap<>();
    private final WitnessService witnessService;
    private List<VersionedMember> eligibleMembers = List.of();
    private long eligibleVersion = -1;
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

    /** The votes of this daemon, which tell who is alive. */
    public WitnessService witnessService() {
        return witnessService;
    }

    /** This daemon has a new member id; takeovers of the former incarnation are dropped. */
    public void selfChanged(MemberId newSelf) {
        self = newSelf;
        running.clear();
    }

    /** The process did not run for a while, so the silence of others until now means nothing. */
    public void processResumed(long nowNanos) {
        observedSinceNanos = nowNanos;
        running.clear();
    }

    /** Starts takeovers of members not heard of and advances the running ones. */
    public void tick(long nowNanos) {
        refreshEligibleMembers();
        for (VersionedMember known : eligibleMembers) {
            if (isSuspect(known, nowNanos)
                    && !running.containsKey(known.member().id())) {
                start(known, nowNanos);
            }
        }
        for (Takeover takeover : List.copyOf(running.values())) {
            perform(takeover, takeover.tick(nowNanos));
            finishIfDone(takeover);
        }
        reportStuck(nowNanos);
    }

    /** Members whose takeover is going on. */
    public List<MemberId> runningTakeovers() {
        return running.keySet().stream().sorted().toList();
    }

    private void reportStuck(long nowNanos) {
        stuckAtNanos.keySet().retainAll(running.keySet());
        for (Takeover takeover : running.values()) {
            Member member = takeover.target().member();
            Long stuckAt = stuckAtNanos.putIfAbsent(member.id(), nowNanos + STUCK_NANOS);
            if (stuckAt != null && nowNanos - stuckAt >= 0) {
                stuckAtNanos.put(member.id(), nowNanos + STUCK_NANOS);
                logger.atWarning().log(
                        "event=takeover-stuck member=%s revision=%s refusals=%d witnesses=%s",
                        member.id(), takeover.target().revision(), takeover.refusalCount(), member.witnesses());
            }
        }
    }

    /** Tells running takeovers of newer records. */
    public void viewChanged(RoutingSnapshot snapshot) {
        long now = context.nowNanos();
        for (Takeover takeover : List.copyOf(running.values())) {
            MemberId member = takeover.target().member().id();
            VersionedMember record = snapshot.members().get(member);
            if (record == null || !mayTakeOver(record.member())) {
                running.remove(member);
            } else {
                takeover.recordUpdated(record, now);
                finishIfDone(takeover);
            }
        }
    }

    private void heartbeatAcknowledged(MemberId member) {
        if (running.remove(member) != null) {
            context.log(() -> "event=takeover-dropped member=" + member + " reason=heard-of");
        }
    }

    /** Finds the members that this daemon may take over; only a new snapshot changes them. */
    private void refreshEligibleMembers() {
        if (view.snapshotVersion() != eligibleVersion) {
            eligibleVersion = view.snapshotVersion();
            eligibleMembers = view.current().members().values().stream()
                    .filter(known -> !known.member().id().equals(self))
                    .filter(known -> known.member().state() != MemberState.SEALED)
                    .filter(known -> mayTakeOver(known.member()))
                    .toList();
        }
    }

    private boolean isSuspect(VersionedMember known, long nowNanos) {
        return nowNanos - lastContactNanos(known.member().id())
                > context.options().leaseTiming().expiryNanos();
    }

    private boolean mayTakeOver(Member member) {
        return member.witnesses().isEmpty() || member.witnesses().contains(self);
    }

    /** A new revision of the record is a sign of life too; a member without witnesses gives no other. */
    private long lastContactNanos(MemberId member) {
        long contact = observedSinceNanos;
        for (OptionalLong sign : List.of(view.revisionLearnedNanos(member), witnessService.lastAckNanos(member))) {
            if (sign.isPresent() && sign.getAsLong() - contact > 0) {
                contact = sign.getAsLong();
            }
        }
        return contact;
    }

    private void start(VersionedMember known, long nowNanos) {
        Member member = known.member();
        int rank = rank(member);
        long delayNanos = TimeUnit.MILLISECONDS.toNanos(rank * context.options().takeoverRankDelayMs());
        long knownSinceNanos = view.revisionLearnedNanos(member.id()).orElse(nowNanos);
        running.put(
                member.id(),
                new Takeover(context.options().leaseTiming(), known, knownSinceNanos, nowNanos + delayNanos));
        context.log(() -> "event=takeover-start member=" + member.id() + " revision=" + known.revision() + " rank="
                + rank + " witnesses=" + member.witnesses());
    }

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
            if (action instanceof TakeoverAction.RequestRefusal ask) {
                askRefusal(takeover, ask);
            } else if (action instanceof TakeoverAction.Seal seal) {
                seal(takeover, seal);
            } else if (action instanceof TakeoverAction.ReadRecord read) {
                read(takeover, read);
            }
        }
    }

    private void askRefusal(Takeover takeover, TakeoverAction.RequestRefusal ask) {
        RefusalRequest request = new RefusalRequest(takeover.target().member().id(), ask.recordRevision());
        if (ask.witness().equals(self)) {
            refusalAnswered(takeover, ask, witnessService.refuse(self, self, request));
            return;
        }
        view.member(ask.witness()).ifPresent(witness -> {
            long timeoutMs = context.options().heartbeatMs();
            PeerTarget target = PeerTarget.of(witness.member());
            context.callWithTimeout(
                    () -> context.dependencies().peers().call(target, request, RefusalAnswer.class, timeoutMs),
                    timeoutMs,
                    (answer, failure) -> {
                        if (failure == null && answer.witness().equals(ask.witness())) {
                            refusalAnswered(takeover, ask, answer);
                        }
                    });
        });
    }

    private void refusalAnswered(Takeover takeover, TakeoverAction.RequestRefusal ask, RefusalAnswer answer) {
        if (isRunning(takeover)) {
            Revision revision = ask.recordRevision();
            long retryAfterNanos = answer.retryAfterMs() * NANOS_PER_MS;
            perform(
                    takeover,
                    takeover.refusalAnswered(
                            ask.witness(), revision, answer.granted(), retryAfterNanos, context.nowNanos()));
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
                    finishIfDone(takeover);
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
                    long now = context.nowNanos();
                    if (failure != null) {
                        takeover.storeFailed(read.operation(), now);
                    } else {
                        takeover.readSucceeded(read.operation(), found, now);
                        found.ifPresent(view::applyMember);
                    }
                    finishIfDone(takeover);
                });
    }

    private boolean isRunning(Takeover takeover) {
        return running.get(takeover.target().member().id()) == takeover;
    }

    private void finishIfDone(Takeover takeover) {
        if (takeover.state() != Takeover.State.RUNNING && isRunning(takeover)) {
            MemberId member = takeover.target().member().id();
            running.remove(member);
            context.log(() -> "event=takeover-end member=" + member + " state=" + takeover.state());
        }
    }
}
