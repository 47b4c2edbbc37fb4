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
import org.coriandercrank.kernel.time.Stopwatch;

/**
 * Sends grants to the backend server so that its granted ranges match the range table, and renews them.
 *
 * <p>Invariants: at most one grant is outstanding; the validity of a grant never exceeds the rest of the lease; without
 * a valid lease only an empty grant with validity 0 is sent, and only to revoke ranges.
 *
 * <p>At a backend server that honours it, the validity of a grant starts at an unknown time between the sending of the
 * grant and its answer, so the gate keeps two bounds for the end of the validity. Requests are sent only before the
 * earliest end, counted from the time of sending the grant; this end is never later than the end of the lease. Releases
 * treat the grant as expired only after the latest end, counted from the time of the answer or, without an answer, of
 * the timeout. Not thread safe.
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
    private final Runnable grantAnswerListener;
    private AttachedBackend backend;

    /** Whether the backend server was detached although its process may live. */
    private boolean retired;

    private SentGrant outstandingGrant;

    /**
     * Sequence number of the latest grant; raised to that of the backend server if the server has accepted a later
     * grant, for example from an earlier process of this daemon.
     */
    private long sequence;

    /** Whether the ranges to be granted have changed since the last grant was sent, or that grant failed. */
    private boolean grantOutdated;

    private boolean lastGrantFailed;

    /** Whether the attached backend server has acknowledged a grant that was not a pure revocation. */
    private boolean grantAcknowledged;

    /** Earliest end of the validity of the acknowledged grant at the backend server. */
    private long grantValidUntilNanos;

    private long nextSendAtNanos;

    /**
     * Creates a manager without a backend server.
     *
     * @param grantAnswerListener called after the answer to a grant was handled
     */
    GrantManager(GateContext context, RangeTable ranges, Runnable grantAnswerListener) {
        this.context = context;
        this.ranges = ranges;
        this.grantAnswerListener = grantAnswerListener;
    }

    /**
     * Uses another backend server and schedules a grant of the ranges that exist already. If the previous server has not
     * ended, it may hold the ranges that are being revoked, and the next one cannot acknowledge their revocation.
     */
    void attach(AttachedBackend newBackend) {
        abandonOutstandingGrant();
        if (backend != null && !backend.info().name().equals(newBackend.info().name())) {
            boolean honoursValidity = backend.supports(Capability.VALIDITY);
            ranges.inState(State.RELEASING).forEach(entry -> entry.onServerReplaced(honoursValidity));
            ranges.inState(State.REVOKING).forEach(entry -> entry.onServerReplaced(honoursValidity));
        }
        backend = newBackend;
        retired = false;
        grantAcknowledged = false;
        lastGrantFailed = false;
        grantOutdated = context.serviceConfig().keyed() && !ranges.entries().isEmpty();
        nextSendAtNanos = context.nowNanos();
    }

    /** Sends nothing more to the backend server than what is needed to revoke its ranges. */
    void retire() {
        abandonOutstandingGrant();
        retired = true;
        grantAcknowledged = false;
        lastGrantFailed = false;
        grantOutdated = !ranges.inState(State.REVOKING).isEmpty();
        nextSendAtNanos = context.nowNanos();
    }

    /** Forgets the backend server, whose process has ended. */
    void onServerEnded() {
        backend = null;
        outstandingGrant = null;
        grantAcknowledged = false;
        lastGrantFailed = false;
        grantOutdated = false;
    }

    /** Whether a backend server is needed to revoke ranges. */
    boolean isRevokingAt(AttachedBackend candidate) {
        return candidate.equals(backend) && !ranges.inState(State.REVOKING).isEmpty();
    }

    /** Treats the outstanding grant as one that the backend server may accept at any moment. */
    private void abandonOutstandingGrant() {
        if (outstandingGrant != null) {
            ranges.extendGrantExpiry(
                    outstandingGrant.grant().ranges(), context.nowNanos() + outstandingGrant.validityNanos());
            outstandingGrant = null;
        }
    }

    /** Schedules a grant with the current ranges; it is sent after the grant delay and when no other is outstanding. */
    void requestGrant() {
        if (!lastGrantFailed && !(grantOutdated && outstandingGrant == null)) {
            nextSendAtNanos = context.nowNanos()
                    + TimeUnit.MILLISECONDS.toNanos(context.options().grantDelayMs());
        }
        grantOutdated = true;
    }

    /** Whether the backend server has acknowledged a grant that is still valid. */
    boolean hasValidGrant(long nowNanos) {
        return grantAcknowledged && (!backend.supports(Capability.VALIDITY) || grantValidUntilNanos - nowNanos > 0);
    }

    /** Whether the latest grant failed. */
    boolean hasLastGrantFailed() {
        return lastGrantFailed;
    }

    /** Handles a grant that timed out, sends a grant that is due, and revokes ranges whose grant has expired. */
    void tick(long nowNanos) {
        if (outstandingGrant != null
                && nowNanos - outstandingGrant.sentAtNanos()
                        >= TimeUnit.MILLISECONDS.toNanos(context.options().grantTimeoutMs())) {
            SentGrant unanswered = outstandingGrant;
            outstandingGrant = null;
            ranges.extendGrantExpiry(unanswered.grant().ranges(), nowNanos + unanswered.validityNanos());
            onFailure(
                    unanswered,
                    new CrankException(ResultCode.CALL_TIMEOUT, "the backend server did not answer the grant in time"),
                    nowNanos);
        }
        boolean mayBeNeeded = !retired || !ranges.inState(State.REVOKING).isEmpty();
        if (backend != null && mayBeNeeded && outstandingGrant == null && nowNanos - nextSendAtNanos >= 0) {
            sendIfDue(nowNanos);
        }
        completeRevocations();
        for (RangeEntry entry : ranges.inState(State.REVOKING)) {
            if (isExpiredWithoutAnswer(entry, nowNanos)) {
                context.logDecision(() -> "event=revoke-lapsed range=" + entry.range() + " fence=" + entry.fence());
                ranges.transition(entry, State.REVOKED);
            }
        }
    }

    /** Completes the revocations of ranges that the backend server does not hold and can no longer take. */
    private void completeRevocations() {
        for (RangeEntry entry : ranges.inState(State.REVOKING)) {
            if ((entry.isRevocationAcknowledged() && !mayHoldEarlierGrant(entry)) || isCertainlyReleased(entry)) {
                ranges.transition(entry, State.REVOKED);
            }
        }
    }

    /** Whether the backend server may hold a part of a range that is not granted again, under a newer fencing token. */
    private boolean mayHoldEarlierGrant(RangeEntry entry) {
        return backend != null && ungrantedParts(entry).stream().anyMatch(backend.server()::mayHoldEarlierGrant);
    }

    private boolean isCertainlyReleased(RangeEntry entry) {
        List<KeyRange> parts = ungrantedParts(entry);
        return backend != null
                && !entry.isAtReplacedServer()
                && !parts.isEmpty()
                && parts.stream().allMatch(backend.server()::hasCertainlyReleased);
    }

    private List<KeyRange> ungrantedParts(RangeEntry entry) {
        List<KeyRange> granted = ranges.grantable().stream()
                .map(RangeEntry::range)
                .filter(entry.range()::overlaps)
                .toList();
        return KeyRanges.subtract(entry.range(), granted);
    }

    /** Whether the backend server certainly cannot use a range any more although it has not answered the revocation. */
    private boolean isExpiredWithoutAnswer(RangeEntry entry, long nowNanos) {
        if (backend == null) {
            return context.options().allowUnconfirmedRelease() && entry.isGrantExpired(nowNanos);
        }
        if (outstandingGrant != null
                && RangeTable.isGrantedBy(entry, outstandingGrant.grant().ranges())) {
            return false;
        }
        boolean honoursValidity =
                entry.isAtReplacedServer() ? entry.isExpiringAtReplacedServer() : backend.supports(Capability.VALIDITY);
        return entry.isGrantExpired(nowNanos)
                && (honoursValidity || context.options().allowUnconfirmedRelease());
    }

    private void sendIfDue(long nowNanos) {
        List<GrantedRange> granted = new ArrayList<>();
        ranges.grantable().forEach(entry -> addGrantedRanges(entry, granted));
        // Started before the lease is read, so that a pause before the grant is sent does not lengthen its validity.
        Stopwatch sinceValidity = context.startLeaseStopwatch();
        long leaseMs = context.leaseRemainingMs();
        if (leaseMs >= 1 && (grantOutdated || !granted.isEmpty())) {
            send(granted, Math.min(context.options().grantValidityMs(), leaseMs), sinceValidity, nowNanos);
        } else if (leaseMs < 1
                && grantOutdated
                && !ranges.inState(State.REVOKING).isEmpty()) {
            send(List.of(), 0, sinceValidity, nowNanos);
        }
    }

    /**
     * Adds the ranges that grant an entry. While the entry is being acquired, it is granted in the pieces for which the
     * previous server provided a handover token, together with these tokens.
     */
    private static void addGrantedRanges(RangeEntry entry, List<GrantedRange> granted) {
        List<KeyRange> remaining = List.of(entry.range());
        if (entry.state() == State.ACQUIRING) {
            for (Handover handover : entry.transferred().handovers()) {
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

    private void send(List<GrantedRange> granted, long validityMs, Stopwatch sinceValidity, long nowNanos) {
        sequence++;
        SentGrant sent = new SentGrant(backend, new Grant(sequence, granted, validityMs), nowNanos);
        outstandingGrant = sent;
        grantOutdated = false;
        context.call(() -> sent.backend().server().grant(sent.grant(), sinceValidity), (answered, failure) -> {
            onAnswer(sent, answered, failure);
            grantAnswerListener.run();
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
                onRevocationAcknowledged(entry);
            }
        }
        completeRevocations();
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
        nextSendAtNanos =
                grantOutdated ? nowNanos : sent.sentAtNanos() + sent.validityNanos() / RENEWALS_PER_VALIDITY_PERIOD;
    }

    private void onRevocationAcknowledged(RangeEntry entry) {
        if (entry.isAtReplacedServer()) {
            return;
        }
        if (!entry.isRevocationAcknowledged() && mayHoldEarlierGrant(entry)) {
            context.logDecision(
                    () -> "event=revoke-awaits-earlier-grant range=" + entry.range() + " fence=" + entry.fence());
        }
        entry.onRevocationAcknowledged();
    }

    /** Whether granted ranges with the fencing token of an entry cover it completely. */
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
