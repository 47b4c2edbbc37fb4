package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.internal.Execution.AttachedBackend;
import org.coriandercrank.gate.internal.RangeEntry.State;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.table.BackendInfo.Capability;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;

/**
 * Keeps the granted ranges of the backend server in step with the range table.
 *
 * <p>Invariants: one grant is outstanding at a time; its validity never exceeds what is left of the lease; without a
 * lease only an empty grant of validity 0 is sent, and only to revoke. Two bounds are kept for the validity at the
 * server: gate and lease rely on the earliest end (counted from the send), releases on the latest (counted from the
 * answer, or from the time-out). Not thread safe.
 */
final class GrantManager {
    private static final int RENEWALS_PER_VALIDITY_PERIOD = 3;

    private record SentGrant(AttachedBackend backend, Grant grant, long sentAtNanos) {
        long validityNanos() {
            return TimeUnit.MILLISECONDS.toNanos(grant.validityMs());
        }
    }

    private final GateContext context;
    private final RangeTable ranges;
    private final Runnable onChange;
    private AttachedBackend backend;
    private SentGrant outstandingGrant;
    private long sequence;
    private boolean grantOutdated;
    private boolean lastGrantFailed;
    private boolean grantAcknowledged;
    private long grantValidUntilNanos;
    private long nextSendAtNanos;

    GrantManager(GateContext context, RangeTable ranges, Runnable onChange) {
        this.context = context;
        this.ranges = ranges;
        this.onChange = onChange;
    }

    void attach(AttachedBackend newBackend) {
        backend = newBackend;
        outstandingGrant = null;
        grantAcknowledged = false;
        lastGrantFailed = false;
        grantOutdated = context.serviceConfig().keyed() && !ranges.entries().isEmpty();
        nextSendAtNanos = context.nowNanos();
    }

    void detach() {
        backend = null;
        outstandingGrant = null;
        grantAcknowledged = false;
        lastGrantFailed = false;
        grantOutdated = false;
    }

    /** Sends a grant as soon as no other is outstanding. */
    void requestGrant() {
        if (!lastGrantFailed && !(grantOutdated && outstandingGrant == null)) {
            nextSendAtNanos = context.nowNanos()
                    + TimeUnit.MILLISECONDS.toNanos(context.options().grantDelayMs());
        }
        grantOutdated = true;
    }

    /** Whether the backend server has a grant that it honours. */
    boolean hasValidGrant(long nowNanos) {
        return grantAcknowledged && (!backend.supports(Capability.VALIDITY) || grantValidUntilNanos - nowNanos > 0);
    }

    /** Whether the latest grant failed. */
    boolean hasLastGrantFailed() {
        return lastGrantFailed;
    }

    void tick(long nowNanos) {
        if (outstandingGrant != null
                && nowNanos - outstandingGrant.sentAtNanos()
                        >= TimeUnit.MILLISECONDS.toNanos(context.options().grantTimeoutMs())) {
            SentGrant unanswered = outstandingGrant;
            outstandingGrant = null;
            ranges.extendGrantExpiry(unanswered.grant().ranges(), nowNanos + unanswered.validityNanos());
            onFailure(unanswered, new CrankException(ResultCode.CALL_TIMEOUT, "the grant got no answer"), nowNanos);
        }
        if (backend != null && outstandingGrant == null && nowNanos - nextSendAtNanos >= 0) {
            sendIfDue(nowNanos);
        }
        for (RangeEntry entry : ranges.inState(State.REVOKING)) {
            if (isExpiredWithoutAnswer(entry, nowNanos)) {
                context.logDecision(() -> "event=revoke-lapsed range=" + entry.range() + " fence=" + entry.fence());
                ranges.transition(entry, State.REVOKED);
            }
        }
    }

    private boolean isExpiredWithoutAnswer(RangeEntry entry, long nowNanos) {
        if (outstandingGrant != null
                && RangeTable.isGrantedBy(entry, outstandingGrant.grant().ranges())) {
            return false;
        }
        boolean honoursValidity = backend != null && backend.supports(Capability.VALIDITY);
        return entry.isGrantExpired(nowNanos)
                && (honoursValidity || context.options().allowUnconfirmedRelease());
    }

    private void sendIfDue(long nowNanos) {
        List<GrantedRange> granted = new ArrayList<>();
        ranges.grantable().forEach(entry -> addGrantedRanges(entry, granted));
        long leaseMs = context.leaseRemainingMs();
        if (leaseMs >= 1 && (grantOutdated || !granted.isEmpty())) {
            send(granted, Math.min(context.options().grantValidityMs(), leaseMs), nowNanos);
        } else if (leaseMs < 1 && grantOutdated && !ranges.inState(State.REVOKING).isEmpty()) {
            send(List.of(), 0, nowNanos);
        }
    }

    /** An entry that is being acquired is granted in the pieces in which its last server released it. */
    private static void addGrantedRanges(RangeEntry entry, List<GrantedRange> granted) {
        List<KeyRange> remaining = List.of(entry.range());
        if (entry.state() == State.ACQUIRING) {
            for (Handover handover : entry.inherited().handovers()) {
                Optional<KeyRange> piece = KeyRanges.intersect(handover.range(), entry.range());
                if (piece.isPresent() && remaining.stream().anyMatch(r -> r.contains(piece.get()))) {
                    granted.add(new GrantedRange(piece.get(), entry.fence(), handover.token()));
                    remaining = remaining.stream()
                            .flatMap(r -> KeyRanges.subtract(r, List.of(piece.get())).stream())
                            .toList();
                }
            }
        }
        remaining.forEach(range -> granted.add(new GrantedRange(range, entry.fence())));
    }

    private void send(List<GrantedRange> granted, long validityMs, long nowNanos) {
        sequence++;
        SentGrant sent = new SentGrant(backend, new Grant(sequence, granted, validityMs), nowNanos);
        outstandingGrant = sent;
        grantOutdated = false;
        context.call(() -> sent.backend().server().grant(sent.grant()), (answered, failure) -> {
            onAnswer(sent, answered, failure);
            onChange.run();
        });
    }

    private void onAnswer(SentGrant sent, Long serverSequence, Throwable failure) {
        long nowNanos = context.nowNanos();
        ranges.extendGrantExpiry(sent.grant().ranges(), nowNanos + sent.validityNanos());
        if (serverSequence != null && sent.backend().equals(backend)) {
            sequence = Math.max(sequence, serverSequence);
        }
        if (outstandingGrant == null
                || outstandingGrant.grant().sequence() != sent.grant().sequence()) {
            return;
        }
        outstandingGrant = null;
        if (failure != null || serverSequence == null) {
            onFailure(sent, CrankException.of(failure), nowNanos);
        } else if (serverSequence > sent.grant().sequence()) {
            requestGrant();
            context.logDecision(() -> "event=grant-sequence-old server-sequence=" + serverSequence);
        } else {
            onAcknowledged(sent, nowNanos);
        }
    }

    private void onAcknowledged(SentGrant sent, long nowNanos) {
        lastGrantFailed = false;
        List<GrantedRange> granted = sent.grant().ranges();
        if (sent.grant().validityMs() > 0) {
            grantAcknowledged = true;
            grantValidUntilNanos = sent.sentAtNanos() + sent.validityNanos();
        } else {
            grantAcknowledged = false;
            grantOutdated = true;
        }
        for (RangeEntry entry : ranges.inState(State.REVOKING)) {
            if (!RangeTable.isGrantedBy(entry, granted)) {
                ranges.transition(entry, State.REVOKED);
            }
        }
        for (RangeEntry entry : ranges.inState(State.ACQUIRING)) {
            if (isFullyGranted(entry, granted)) {
                ranges.transition(entry, State.SERVING);
            }
        }
        for (RangeEntry entry : ranges.inState(State.SERVING)) {
            if (entry.needsRegrant() && isFullyGranted(entry, granted)) {
                entry.onGrantAcknowledged(sent.sentAtNanos());
            }
        }
        nextSendAtNanos = grantOutdated ? nowNanos : sent.sentAtNanos() + sent.validityNanos() / RENEWALS_PER_VALIDITY_PERIOD;
    }

    private static boolean isFullyGranted(RangeEntry entry, List<GrantedRange> granted) {
        List<KeyRange> pieces = granted.stream()
                .filter(g -> g.fence().equals(entry.fence()) && g.range().overlaps(entry.range()))
                .map(GrantedRange::range)
                .toList();
        return KeyRanges.subtract(entry.range(), pieces).isEmpty();
    }

    private void onFailure(SentGrant sent, CrankException failure, long nowNanos) {
        lastGrantFailed = true;
        grantOutdated = true;
        nextSendAtNanos =
                nowNanos + TimeUnit.MILLISECONDS.toNanos(context.options().grantRetryMs());
        context.metrics().onGrantFailure();
        context.logDecision(() -> "event=grant-failed sequence=" + sent.grant().sequence() + " code=" + failure.code());
        for (RangeEntry entry : ranges.inState(State.ACQUIRING)) {
            if (RangeTable.isGrantedBy(entry, sent.grant().ranges())) {
                entry.failAcquire(failure);
            }
        }
    }
}
