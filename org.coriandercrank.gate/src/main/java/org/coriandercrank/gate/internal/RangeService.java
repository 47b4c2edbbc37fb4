package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.internal.Execution.AttachedBackend;
import org.coriandercrank.gate.internal.Execution.ReleasePolicy;
import org.coriandercrank.gate.internal.RangeEntry.State;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * Acquires and releases ranges.
 *
 * <p>Invariant: a release completes only when every call of its range that was in flight or lost at the start of the
 * release is settled, and every entry that it took out of service is revoked or has expired at the backend server.
 * Calls under a newer fencing token do not delay a release. Not thread safe.
 */
final class RangeService {
    /** A release in progress; it waits for the unsettled calls and the entries of its range. */
    private static final class Release {
        private final KeyRange range;
        private final Set<Execution> unsettledCalls;
        private final List<RangeEntry> entries = new ArrayList<>();
        private final CompletableFuture<TransferredRecords> result = new CompletableFuture<>();

        private Release(KeyRange range, Set<Execution> unsettledCalls) {
            this.range = range;
            this.unsettledCalls = unsettledCalls;
        }
    }

    /** A wait for the revocation of ranges under the fencing tokens with which they were given up. */
    private record RevocationWait(List<GrantedRange> givenUp, CompletableFuture<Void> result) {}

    private final GateContext context;
    private final RangeTable ranges;
    private final RecordTable records;
    private final GrantManager grants;
    private final ReleasePolicy releasePolicy;
    private final FenceHistory fenceHistory = new FenceHistory();
    private final List<Release> releases = new ArrayList<>();
    private final List<RevocationWait> revocationWaits = new ArrayList<>();

    /** The attached backend server, or the one that was attached last. */
    private Optional<AttachedBackend> backend = Optional.empty();

    private boolean attached;

    RangeService(GateContext context, RangeTable ranges, RecordTable records, GrantManager grants) {
        this.context = context;
        this.ranges = ranges;
        this.records = records;
        this.grants = grants;
        releasePolicy = new ReleasePolicy(
                context.options().deadlineGraceMs(),
                context.options().lostCallLifetimeMs(),
                context.options().allowUnconfirmedRelease());
    }

    /** Uses another backend server. */
    void attach(AttachedBackend newBackend) {
        backend = Optional.of(newBackend);
        attached = true;
    }

    /** Acquires no more ranges; the handover tokens of the backend server are still passed on. */
    void detach() {
        attached = false;
    }

    /** Starts an acquire. Repeating an acquire returns the future of the first one. */
    CompletableFuture<Void> acquire(KeyRange range, Generation fence, TransferredRecords transferred) {
        List<RangeEntry> active = activeOverlapping(range);
        for (RangeEntry entry : active) {
            if (entry.fence().equals(fence) && entry.range().contains(range)) {
                context.logDecision(() -> line("acquire-repeated", range, fence));
                return entry.acquired();
            }
        }
        CrankException refusal = refusal(range, fence, active);
        if (refusal != null) {
            context.logDecision(() -> line("acquire-refused", range, fence) + " code=" + refusal.code());
            return CompletableFuture.failedFuture(refusal);
        }
        RangeEntry entry = createEntry(range, fence, transferred);
        ranges.add(entry);
        fenceHistory.onAcquire(range, fence);
        grants.requestGrant();
        context.logDecision(() -> line("acquire", range, fence));
        return entry.acquired();
    }

    /** Returns the reason why a range cannot be acquired, or null if it can. */
    private CrankException refusal(KeyRange range, Generation fence, List<RangeEntry> active) {
        if (!context.serviceConfig().keyed()) {
            return new CrankException(ResultCode.BAD_REQUEST, "the service is unkeyed and has no ranges");
        }
        if (!attached) {
            return new CrankException(ResultCode.BACKEND_UNAVAILABLE, "no backend server is attached");
        }
        if (!context.isLeaseValid()) {
            return new CrankException(ResultCode.LEASE_LAPSED, "the lease is not valid");
        }
        if (!fenceHistory.allows(range, fence)) {
            return new CrankException(
                    ResultCode.RANGE_MOVING,
                    "part of the range was acquired under a newer fencing token or released under this one");
        }
        if (active.stream().anyMatch(e -> !fence.isNewerThan(e.fence()))) {
            return new CrankException(
                    ResultCode.NOT_OWNER, "part of the range is already held under this fencing token or a newer one");
        }
        return null;
    }

    /**
     * Creates the entry for an acquired range and removes the entries that it replaces. If the replaced entries cover
     * the whole range, the outcome records of this gate remain complete as far as they were.
     */
    private RangeEntry createEntry(KeyRange range, Generation fence, TransferredRecords transferred) {
        long nowNanos = context.nowNanos();
        RecordHorizon transferredHorizon = RecordHorizon.completeFor(nowNanos, transferred.completeForMs());
        RecordHorizon ownHorizon = RecordHorizon.UNLIMITED;
        List<RangeEntry> replaced = removeReplaced(range, fence);
        long ownServingSinceNanos =
                replaced.isEmpty() ? nowNanos : replaced.get(0).servingSinceNanos();
        for (RangeEntry replacedEntry : replaced) {
            ownHorizon = ownHorizon.later(replacedEntry.recordHorizon());
            ownServingSinceNanos = replacedEntry.servingSinceNanos() - ownServingSinceNanos > 0
                    ? replacedEntry.servingSinceNanos()
                    : ownServingSinceNanos;
        }
        boolean fullyCovered =
                RangeTable.covers(replaced.stream().map(RangeEntry::range).toList(), range);
        RecordHorizon horizon = fullyCovered ? ownHorizon.earlier(transferredHorizon) : transferredHorizon;
        RangeEntry entry = RangeEntry.acquiring(range, fence, transferred, horizon, nowNanos);
        if (fullyCovered) {
            entry.setServingSince(ownServingSinceNanos);
        } else if (transferred.completeForMs() > 0) {
            entry.limitRemovalHorizon(transferredHorizon);
        }
        replaced.forEach(replacedEntry -> entry.limitRemovalHorizon(replacedEntry.removalHorizon()));
        replaced.forEach(entry::inheritGrantExpiry);
        return entry;
    }

    /**
     * Removes and returns the entries within a range that are served under an older fencing token, or whose acquire
     * under this token failed.
     */
    private List<RangeEntry> removeReplaced(KeyRange range, Generation fence) {
        List<RangeEntry> removed = new ArrayList<>();
        for (RangeEntry overlappingEntry : ranges.overlapping(range)) {
            if (overlappingEntry.state() == State.ACQUIRING) {
                overlappingEntry.failAcquire(new CrankException(
                        ResultCode.RANGE_MOVING, "the range was acquired under a newer fencing token"));
            } else if (overlappingEntry.state() == State.SERVING
                    || (overlappingEntry.isAcquireFailed()
                            && overlappingEntry.fence().equals(fence))) {
                RangeEntry part = ranges.splitOff(overlappingEntry, range);
                ranges.remove(part);
                removed.add(part);
            }
        }
        return removed;
    }

    /**
     * Starts the release of a range; the future completes with the outcome records and handover tokens of the range.
     *
     * @param candidateCalls calls of any range that run or whose answer was lost
     */
    CompletableFuture<TransferredRecords> release(KeyRange range, List<Execution> candidateCalls) {
        Set<Execution> unsettledCalls = new HashSet<>();
        for (Execution call : candidateCalls) {
            if (range.contains(call.hash())) {
                unsettledCalls.add(call);
            }
        }
        Release release = new Release(range, unsettledCalls);
        for (RangeEntry overlapping : ranges.overlapping(range)) {
            if (overlapping.state() == State.ACQUIRING) {
                records.importRecords(overlapping.transferred(), context.nowNanos());
                overlapping.failAcquire(new CrankException(ResultCode.RANGE_MOVING, "the range was released"));
            }
            RangeEntry entry = ranges.splitOff(overlapping, range);
            if (!entry.range().equals(overlapping.range())) {
                replaceSplitEntry(overlapping);
            }
            ranges.startRelease(entry);
            release.entries.add(entry);
        }
        fenceHistory.onRelease(range);
        grants.requestGrant();
        releases.add(release);
        context.logDecision(() -> "event=release range=" + range + " entries=" + release.entries.size() + " in-flight="
                + unsettledCalls.size());
        return release.result;
    }

    /**
     * Releases all ranges and stops granting them at once, also those with calls in flight. The lease under which they
     * were acquired has ended for good, so another member may own them, and a later lease must not renew their grants.
     *
     * @param candidateCalls calls of any range that run or whose answer was lost
     */
    void releaseAtMemberEnd(List<Execution> candidateCalls) {
        for (RangeEntry entry : List.copyOf(ranges.entries())) {
            if (entry.state().compareTo(State.SERVING) <= 0 || entry.isAcquireFailed()) {
                release(entry.range(), candidateCalls);
            }
        }
        for (RangeEntry entry : ranges.inState(State.RELEASING)) {
            ranges.transition(entry, State.REVOKING);
        }
    }

    /** Replaces a split entry with its parts in the releases that wait for it. */
    private void replaceSplitEntry(RangeEntry split) {
        for (Release release : releases) {
            if (release.entries.remove(split)) {
                for (RangeEntry part : ranges.overlapping(split.range())) {
                    if (part.fence().equals(split.fence())) {
                        release.entries.add(part);
                    }
                }
            }
        }
    }

    /** Returns the ranges that are given up but may still be held by a backend server. */
    List<KeyRange> unrevokedRanges() {
        return ranges.entries().stream()
                .filter(RangeService::isUnrevoked)
                .map(RangeEntry::range)
                .toList();
    }

    /**
     * Completes when no backend server can start a request any more under a grant of the ranges that are being given up
     * now. Requests that have started may still run.
     */
    CompletableFuture<Void> awaitRevocations() {
        RevocationWait wait = new RevocationWait(
                ranges.entries().stream()
                        .filter(RangeService::isUnrevoked)
                        .map(e -> new GrantedRange(e.range(), e.fence()))
                        .toList(),
                new CompletableFuture<>());
        revocationWaits.add(wait);
        completeRevocationWaits();
        return wait.result;
    }

    private void completeRevocationWaits() {
        List<RevocationWait> completed = revocationWaits.stream()
                .filter(wait -> ranges.entries().stream()
                        .noneMatch(entry ->
                                isUnrevoked(entry) && wait.givenUp.stream().anyMatch(entry::isGrantedBy)))
                .toList();
        revocationWaits.removeAll(completed);
        completed.forEach(wait -> wait.result.complete(null));
    }

    private static boolean isUnrevoked(RangeEntry entry) {
        return entry.state() == State.RELEASING || entry.state() == State.REVOKING;
    }

    /** Revokes all entries without an answer, because the process of the backend server has ended. */
    void revokeAllRanges() {
        for (RangeEntry entry : List.copyOf(ranges.entries())) {
            if (entry.state() == State.ACQUIRING) {
                entry.failAcquire(new CrankException(ResultCode.BACKEND_UNAVAILABLE, "the backend server has ended"));
            }
            if (entry.state() != State.REVOKED) {
                ranges.transition(entry, State.REVOKED);
            }
            fenceHistory.onRelease(entry.range());
        }
    }

    ReleasePolicy releasePolicy() {
        return releasePolicy;
    }

    /** Whether a key belongs to a range that is being released. */
    boolean isReleasing(KeyHash hash) {
        return releases.stream().anyMatch(r -> r.range.contains(hash));
    }

    boolean hasReleases() {
        return !releases.isEmpty();
    }

    /** Fails acquires if the lease has expired, and starts to revoke the releasing entries that await no calls. */
    void tick(long nowNanos) {
        if (!context.isLeaseValid()) {
            for (RangeEntry entry : ranges.inState(State.ACQUIRING)) {
                grants.requestGrant();
                entry.failAcquire(new CrankException(ResultCode.LEASE_LAPSED, "the lease is not valid"));
            }
        }
        for (Release release : releases) {
            release.unsettledCalls.removeIf(
                    call -> call.isSettled(releasePolicy, isGrantExpired(call.hash(), nowNanos), nowNanos));
        }
        for (RangeEntry entry : ranges.inState(State.RELEASING)) {
            if (!isAwaitingCalls(entry, nowNanos)) {
                ranges.transition(entry, State.REVOKING);
                grants.requestGrant();
            }
        }
    }

    /** Completes the releases whose calls are settled and whose entries are revoked. */
    void completeReleases(long nowNanos) {
        for (Release release : List.copyOf(releases)) {
            if (release.unsettledCalls.isEmpty()
                    && release.entries.stream().allMatch(e -> e.state() == State.REVOKED)) {
                releases.remove(release);
                complete(release, nowNanos);
            }
        }
        for (RangeEntry entry : ranges.inState(State.REVOKED)) {
            if (releases.stream().noneMatch(r -> r.entries.contains(entry))) {
                ranges.remove(entry);
            }
        }
        completeRevocationWaits();
    }

    /** Imports the outcome records of the newly served ranges and completes their acquires. */
    void completeAcquires(long nowNanos) {
        for (RangeEntry entry : ranges.inState(State.SERVING)) {
            if (!entry.acquired().isDone()) {
                records.importRecords(entry.transferred(), nowNanos);
                context.logDecision(() -> line("serving", entry.range(), entry.fence()));
                entry.acquired().complete(null);
            }
        }
    }

    private void complete(Release release, long nowNanos) {
        for (RangeEntry entry : release.entries) {
            ranges.addReleased(entry);
        }
        List<RangeTable.ReleasedRange> releasedRanges = ranges.releasedIn(release.range);
        RecordHorizon horizon = RecordHorizon.UNLIMITED;
        for (RangeTable.ReleasedRange released : releasedRanges) {
            horizon = horizon.later(released.horizon());
        }
        boolean fullyCovered = RangeTable.covers(
                releasedRanges.stream().map(RangeTable.ReleasedRange::range).toList(), release.range);
        TransferredRecords exported = records.exportRecords(
                        release.range,
                        fullyCovered ? horizon : RecordHorizon.startingAt(nowNanos),
                        context.options().maxTransferBytes(),
                        nowNanos)
                .withHandovers(backend.map(b -> b.server().takeHandovers(release.range))
                        .orElse(List.of()));
        context.logDecision(() -> "event=released range=" + release.range + " records="
                + exported.records().size() + " complete-for-ms=" + exported.completeForMs());
        release.result.complete(exported);
    }

    /** Whether a release waits for a call in the range of an entry that is within its deadline and grace time. */
    private boolean isAwaitingCalls(RangeEntry entry, long nowNanos) {
        for (Release release : releases) {
            for (Execution call : release.unsettledCalls) {
                if (entry.range().contains(call.hash())
                        && TimeUnit.NANOSECONDS.toMillis(nowNanos - call.deadlineNanos())
                                < releasePolicy.deadlineGraceMs()) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Whether all grants of the released entries that contain a hash have expired at the backend server. */
    private boolean isGrantExpired(KeyHash hash, long nowNanos) {
        return ranges.entries().stream()
                .filter(e -> e.state().compareTo(State.RELEASING) >= 0)
                .filter(e -> e.range().contains(hash))
                .allMatch(e -> e.isGrantExpired(nowNanos));
    }

    /** Returns the entries in state ACQUIRING or SERVING that overlap a range. */
    private List<RangeEntry> activeOverlapping(KeyRange range) {
        return ranges.overlapping(range).stream()
                .filter(e -> e.state().compareTo(State.SERVING) <= 0)
                .toList();
    }

    private static String line(String event, KeyRange range, Generation fence) {
        return "event=" + event + " range=" + range + " fence=" + fence;
    }
}
