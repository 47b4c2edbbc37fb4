package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.internal.Execution.Backend;
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
final class GrantDriver {
    private static final int RENEWALS_PER_VALIDITY = 3;

    private record Sent(Backend backend, Grant grant, long atNanos) {
        long validityNanos() {
            return TimeUnit.MILLISECONDS.toNanos(grant.validityMs());
        }
    }

    private final GateRuntime runtime;
    private final RangeTable ranges;
    private final Runnable onChange;
    private Backend backend;
    private Sent outstanding;
    private long sequence;
    private boolean dirty;
    private boolean failing;
    private boolean acknowledged;
    private long usableUntilNanos;
    private long nextSendNanos;

    GrantDriver(GateRuntime runtime, RangeTable ranges, Runnable onChange) {
        this.runtime = runtime;
        this.ranges = ranges;
        this.onChange = onChange;
    }

    void attach(Backend newBackend) {
        backend = newBackend;
        outstanding = null;
        acknowledged = false;
        failing = false;
        dirty = runtime.rules().keyed() && !ranges.entries().isEmpty();
        nextSendNanos = runtime.nowNanos();
    }

    void detach() {
        backend = null;
        outstanding = null;
        acknowledged = false;
        failing = false;
        dirty = false;
    }

    /** Sends a grant as soon as no other is outstanding. */
    void requestGrant() {
        if (!failing && !(dirty && outstanding == null)) {
            nextSendNanos = runtime.nowNanos()
                    + TimeUnit.MILLISECONDS.toNanos(runtime.options().grantDelayMs());
        }
        dirty = true;
    }

    /** Whether the backend server has a grant that it honours. */
    boolean isUsable(long nowNanos) {
        return acknowledged && (!backend.has(Capability.VALIDITY) || usableUntilNanos - nowNanos > 0);
    }

    /** Whether the latest grant failed. */
    boolean isFailing() {
        return failing;
    }

    void tick(long nowNanos) {
        if (outstanding != null
                && nowNanos - outstanding.atNanos()
                        >= TimeUnit.MILLISECONDS.toNanos(runtime.options().grantTimeoutMs())) {
            Sent unanswered = outstanding;
            outstanding = null;
            ranges.hold(unanswered.grant().ranges(), nowNanos + unanswered.validityNanos());
            onFailure(unanswered, new CrankException(ResultCode.CALL_TIMEOUT, "the grant got no answer"), nowNanos);
        }
        if (backend != null && outstanding == null && nowNanos - nextSendNanos >= 0) {
            sendIfDue(nowNanos);
        }
        for (RangeEntry entry : ranges.inState(State.REVOKING)) {
            if (isLapsedWithoutAnswer(entry, nowNanos)) {
                runtime.logDecision(() -> "event=revoke-lapsed range=" + entry.range() + " fence=" + entry.fence());
                ranges.advance(entry, State.REVOKED);
            }
        }
    }

    private boolean isLapsedWithoutAnswer(RangeEntry entry, long nowNanos) {
        if (outstanding != null
                && RangeTable.isHeldThrough(entry, outstanding.grant().ranges())) {
            return false;
        }
        boolean honoursValidity = backend != null && backend.has(Capability.VALIDITY);
        return entry.isHoldLapsed(nowNanos)
                && (honoursValidity || runtime.options().allowUnconfirmedRelease());
    }

    private void sendIfDue(long nowNanos) {
        List<GrantedRange> granted = new ArrayList<>();
        ranges.grantable().forEach(entry -> addGranted(entry, granted));
        long leaseMs = runtime.leaseRemainingMs();
        if (leaseMs >= 1 && (dirty || !granted.isEmpty())) {
            send(granted, Math.min(runtime.options().grantValidityMs(), leaseMs), nowNanos);
        } else if (leaseMs < 1 && dirty && !ranges.inState(State.REVOKING).isEmpty()) {
            send(List.of(), 0, nowNanos);
        }
    }

    /** An entry that is being acquired is granted in the pieces in which its last server released it. */
    private static void addGranted(RangeEntry entry, List<GrantedRange> granted) {
        List<KeyRange> rest = List.of(entry.range());
        if (entry.state() == State.ACQUIRING) {
            for (Handover handover : entry.inherited().handovers()) {
                Optional<KeyRange> piece = KeyRanges.intersect(handover.range(), entry.range());
                if (piece.isPresent() && rest.stream().anyMatch(r -> r.contains(piece.get()))) {
                    granted.add(new GrantedRange(piece.get(), entry.fence(), handover.token()));
                    rest = rest.stream()
                            .flatMap(r -> KeyRanges.subtract(r, List.of(piece.get())).stream())
                            .toList();
                }
            }
        }
        rest.forEach(range -> granted.add(new GrantedRange(range, entry.fence())));
    }

    private void send(List<GrantedRange> granted, long validityMs, long nowNanos) {
        sequence++;
        Sent sent = new Sent(backend, new Grant(sequence, granted, validityMs), nowNanos);
        outstanding = sent;
        dirty = false;
        runtime.call(() -> sent.backend().server().grant(sent.grant()), (answered, failure) -> {
            onAnswer(sent, answered, failure);
            onChange.run();
        });
    }

    private void onAnswer(Sent sent, Long answeredSequence, Throwable failure) {
        long nowNanos = runtime.nowNanos();
        ranges.hold(sent.grant().ranges(), nowNanos + sent.validityNanos());
        if (answeredSequence != null && sent.backend().equals(backend)) {
            sequence = Math.max(sequence, answeredSequence);
        }
        if (outstanding == null
                || outstanding.grant().sequence() != sent.grant().sequence()) {
            return;
        }
        outstanding = null;
        if (failure != null || answeredSequence == null) {
            onFailure(sent, CrankException.of(failure), nowNanos);
        } else if (answeredSequence > sent.grant().sequence()) {
            requestGrant();
            runtime.logDecision(() -> "event=grant-sequence-old server-sequence=" + answeredSequence);
        } else {
            onAcknowledged(sent, nowNanos);
        }
    }

    private void onAcknowledged(Sent sent, long nowNanos) {
        failing = false;
        List<GrantedRange> granted = sent.grant().ranges();
        if (sent.grant().validityMs() > 0) {
            acknowledged = true;
            usableUntilNanos = sent.atNanos() + sent.validityNanos();
        } else {
            acknowledged = false;
            dirty = true;
        }
        for (RangeEntry entry : ranges.inState(State.REVOKING)) {
            if (!RangeTable.isHeldThrough(entry, granted)) {
                ranges.advance(entry, State.REVOKED);
            }
        }
        for (RangeEntry entry : ranges.inState(State.ACQUIRING)) {
            if (isServedThrough(entry, granted)) {
                ranges.advance(entry, State.SERVING);
            }
        }
        for (RangeEntry entry : ranges.inState(State.SERVING)) {
            if (entry.isRejected() && isServedThrough(entry, granted)) {
                entry.acknowledge(sent.atNanos());
            }
        }
        nextSendNanos = dirty ? nowNanos : sent.atNanos() + sent.validityNanos() / RENEWALS_PER_VALIDITY;
    }

    private static boolean isServedThrough(RangeEntry entry, List<GrantedRange> granted) {
        List<KeyRange> pieces = granted.stream()
                .filter(g -> g.fence().equals(entry.fence()) && g.range().overlaps(entry.range()))
                .map(GrantedRange::range)
                .toList();
        return KeyRanges.subtract(entry.range(), pieces).isEmpty();
    }

    private void onFailure(Sent sent, CrankException failure, long nowNanos) {
        failing = true;
        dirty = true;
        nextSendNanos =
                nowNanos + TimeUnit.MILLISECONDS.toNanos(runtime.options().grantRetryMs());
        runtime.metrics().onGrantFailure();
        runtime.logDecision(() -> "event=grant-failed sequence=" + sent.grant().sequence() + " code=" + failure.code());
        for (RangeEntry entry : ranges.inState(State.ACQUIRING)) {
            if (RangeTable.isHeldThrough(entry, sent.grant().ranges())) {
                entry.failAcquire(failure);
            }
        }
    }
}
