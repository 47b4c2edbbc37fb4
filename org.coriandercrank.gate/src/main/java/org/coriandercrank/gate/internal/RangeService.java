package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.internal.Execution.Backend;
import org.coriandercrank.gate.internal.Execution.ReleaseRules;
import org.coriandercrank.gate.internal.RangeEntry.State;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * Acquires and releases ranges.
 *
 * <p>Invariant: a release completes only when each call of its range that was in flight or lost at its start is
 * settled, and each entry that it took out of service is revoked or has lapsed at the backend server. Calls made under
 * a newer fence do not delay it. Not thread safe.
 */
final class RangeService {
    /** A release in progress. */
    private static final class Release {
        private final KeyRange range;
        private final Set<Execution> unsettled;
        private final List<RangeEntry> entries = new ArrayList<>();
        private final CompletableFuture<TransferredRecords> result = new CompletableFuture<>();

        private Release(KeyRange range, Set<Execution> unsettled) {
            this.range = range;
            this.unsettled = unsettled;
        }
    }

    private final GateRuntime runtime;
    private final RangeTable ranges;
    private final RecordTable records;
    private final GrantDriver grants;
    private final ReleaseRules rules;
    private final FenceHistory fences = new FenceHistory();
    private final List<Release> releases = new ArrayList<>();
    private Optional<Backend> backend = Optional.empty();

    RangeService(GateRuntime runtime, RangeTable ranges, RecordTable records, GrantDriver grants) {
        this.runtime = runtime;
        this.ranges = ranges;
        this.records = records;
        this.grants = grants;
        rules = new ReleaseRules(
                runtime.options().deadlineGraceMs(),
                runtime.options().lostCallLifetimeMs(),
                runtime.options().allowUnconfirmedRelease());
    }

    void attach(Backend newBackend) {
        backend = Optional.ofNullable(newBackend);
    }

    CompletableFuture<Void> acquire(KeyRange range, Generation fence, TransferredRecords inherited) {
        List<RangeEntry> live = liveOverlapping(range);
        for (RangeEntry entry : live) {
            if (entry.fence().equals(fence) && entry.range().contains(range)) {
                runtime.logDecision(() -> line("acquire-repeated", range, fence));
                return entry.acquired();
            }
        }
        CrankException refusal = refusal(range, fence, live);
        if (refusal != null) {
            runtime.logDecision(() -> line("acquire-refused", range, fence) + " code=" + refusal.code());
            return CompletableFuture.failedFuture(refusal);
        }
        RangeEntry entry = newEntry(range, fence, inherited);
        ranges.add(entry);
        fences.onAcquire(range, fence);
        grants.requestGrant();
        runtime.logDecision(() -> line("acquire", range, fence));
        return entry.acquired();
    }

    private CrankException refusal(KeyRange range, Generation fence, List<RangeEntry> live) {
        if (!runtime.rules().keyed()) {
            return new CrankException(ResultCode.BAD_REQUEST, "the service is not divided by key");
        }
        if (backend.isEmpty()) {
            return new CrankException(ResultCode.BACKEND_UNAVAILABLE, "no backend server is attached");
        }
        if (!runtime.isLeaseValid()) {
            return new CrankException(ResultCode.LEASE_LAPSED, "the lease is not valid");
        }
        if (!fences.allows(range, fence)) {
            return new CrankException(ResultCode.RANGE_MOVING, "the fence is older than one used before");
        }
        if (live.stream().anyMatch(e -> !fence.isNewerThan(e.fence()))) {
            return new CrankException(
                    ResultCode.NOT_OWNER, "part of the range is held under this fence or a newer one");
        }
        return null;
    }

    /** Replaces what is held of a range under older fences; records that the gate has itself stay complete. */
    private RangeEntry newEntry(KeyRange range, Generation fence, TransferredRecords inherited) {
        long nowNanos = runtime.nowNanos();
        Horizon inheritedHorizon = Horizon.reachingBack(nowNanos, inherited.completeForMs());
        Horizon ownHorizon = Horizon.UNLIMITED;
        List<RangeEntry> replaced = takeReplaced(range, fence);
        long ownSinceNanos = replaced.isEmpty() ? nowNanos : replaced.get(0).servingSinceNanos();
        for (RangeEntry part : replaced) {
            ownHorizon = ownHorizon.later(part.horizon());
            ownSinceNanos = part.servingSinceNanos() - ownSinceNanos > 0 ? part.servingSinceNanos() : ownSinceNanos;
        }
        boolean covered =
                RangeTable.covers(replaced.stream().map(RangeEntry::range).toList(), range);
        Horizon horizon = covered ? ownHorizon.earlier(inheritedHorizon) : inheritedHorizon;
        RangeEntry entry = RangeEntry.acquiring(range, fence, inherited, horizon, nowNanos);
        if (covered) {
            entry.keepServingSince(ownSinceNanos);
        } else if (inherited.completeForMs() > 0) {
            entry.limitDropHorizon(inheritedHorizon);
        }
        replaced.forEach(part -> entry.limitDropHorizon(part.dropHorizon()));
        replaced.forEach(entry::inheritHold);
        return entry;
    }

    /** Removes the parts of a range that are served under an older fence, or whose acquire failed under this one. */
    private List<RangeEntry> takeReplaced(KeyRange range, Generation fence) {
        List<RangeEntry> taken = new ArrayList<>();
        for (RangeEntry old : ranges.overlapping(range)) {
            if (old.state() == State.ACQUIRING) {
                old.failAcquire(new CrankException(ResultCode.RANGE_MOVING, "acquired under a newer fence"));
            } else if (old.state() == State.SERVING
                    || (old.isAcquireFailed() && old.fence().equals(fence))) {
                RangeEntry part = ranges.cutOut(old, range);
                ranges.remove(part);
                taken.add(part);
            }
        }
        return taken;
    }

    /**
     * Starts a release.
     *
     * @param inFlight calls that run or were lost, of any range
     */
    CompletableFuture<TransferredRecords> release(KeyRange range, List<Execution> inFlight) {
        Set<Execution> unsettled = new HashSet<>();
        for (Execution call : inFlight) {
            if (range.contains(call.hash())) {
                unsettled.add(call);
            }
        }
        Release release = new Release(range, unsettled);
        for (RangeEntry overlapping : ranges.overlapping(range)) {
            if (overlapping.state() == State.ACQUIRING) {
                records.putAll(overlapping.inherited(), runtime.nowNanos());
                overlapping.failAcquire(new CrankException(ResultCode.RANGE_MOVING, "the range is released"));
            }
            RangeEntry entry = ranges.cutOut(overlapping, range);
            if (!entry.range().equals(overlapping.range())) {
                replaceInReleases(overlapping);
            }
            ranges.startRelease(entry);
            release.entries.add(entry);
        }
        fences.onRelease(range);
        grants.requestGrant();
        releases.add(release);
        runtime.logDecision(() -> "event=release range=" + range + " entries=" + release.entries.size() + " in-flight="
                + unsettled.size());
        return release.result;
    }

    /** Gives the releases that wait for a split entry its parts. */
    private void replaceInReleases(RangeEntry split) {
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

    /** Revokes all entries at once, because the backend server holds nothing any more. */
    void revokeAll() {
        for (RangeEntry entry : List.copyOf(ranges.entries())) {
            if (entry.state() == State.ACQUIRING) {
                entry.failAcquire(new CrankException(ResultCode.BACKEND_UNAVAILABLE, "the backend server is gone"));
            }
            if (entry.state() != State.REVOKED) {
                ranges.advance(entry, State.REVOKED);
            }
            fences.onRelease(entry.range());
        }
    }

    ReleaseRules rules() {
        return rules;
    }

    /** Whether a key belongs to a range that is being released. */
    boolean isReleasing(KeyHash hash) {
        return releases.stream().anyMatch(r -> r.range.contains(hash));
    }

    boolean hasReleases() {
        return !releases.isEmpty();
    }

    void tick(long nowNanos) {
        if (!runtime.isLeaseValid()) {
            for (RangeEntry entry : ranges.inState(State.ACQUIRING)) {
                grants.requestGrant();
                entry.failAcquire(new CrankException(ResultCode.LEASE_LAPSED, "the lease is not valid"));
            }
        }
        for (Release release : releases) {
            release.unsettled.removeIf(call -> call.isSettled(rules, isHoldLapsed(call.hash(), nowNanos), nowNanos));
        }
        for (RangeEntry entry : ranges.inState(State.RELEASING)) {
            if (!awaitsCalls(entry, nowNanos)) {
                ranges.advance(entry, State.REVOKING);
                grants.requestGrant();
            }
        }
    }

    /** Completes the releases that have nothing left to wait for. */
    void completeReleases(long nowNanos) {
        for (Release release : List.copyOf(releases)) {
            if (release.unsettled.isEmpty() && release.entries.stream().allMatch(e -> e.state() == State.REVOKED)) {
                releases.remove(release);
                complete(release, nowNanos);
            }
        }
        for (RangeEntry entry : ranges.inState(State.REVOKED)) {
            if (releases.stream().noneMatch(r -> r.entries.contains(entry))) {
                ranges.remove(entry);
            }
        }
    }

    /** Inserts the records that came with the ranges that are now served, and tells those who wait for them. */
    void completeAcquires(long nowNanos) {
        for (RangeEntry entry : ranges.inState(State.SERVING)) {
            if (!entry.acquired().isDone()) {
                records.putAll(entry.inherited(), nowNanos);
                runtime.logDecision(() -> line("serving", entry.range(), entry.fence()));
                entry.acquired().complete(null);
            }
        }
    }

    private void complete(Release release, long nowNanos) {
        for (RangeEntry entry : release.entries) {
            ranges.addReleased(entry);
        }
        List<RangeTable.Released> known = ranges.releasedIn(release.range);
        Horizon horizon = Horizon.UNLIMITED;
        for (RangeTable.Released released : known) {
            horizon = horizon.later(released.horizon());
        }
        boolean covered =
                RangeTable.covers(known.stream().map(RangeTable.Released::range).toList(), release.range);
        TransferredRecords exported = records.export(
                        release.range,
                        covered ? horizon : Horizon.since(nowNanos),
                        runtime.options().maxTransferBytes(),
                        nowNanos)
                .withHandovers(backend.map(b -> b.server().takeHandovers(release.range))
                        .orElse(List.of()));
        runtime.logDecision(() -> "event=released range=" + release.range + " records="
                + exported.records().size() + " complete-for-ms=" + exported.completeForMs());
        release.result.complete(exported);
    }

    /** Whether calls of an entry may still end before their deadline and its grace. */
    private boolean awaitsCalls(RangeEntry entry, long nowNanos) {
        for (Release release : releases) {
            for (Execution call : release.unsettled) {
                if (entry.range().contains(call.hash())
                        && TimeUnit.NANOSECONDS.toMillis(nowNanos - call.deadlineNanos()) < rules.graceMs()) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean isHoldLapsed(KeyHash hash, long nowNanos) {
        return ranges.entries().stream()
                .filter(e -> e.state().compareTo(State.RELEASING) >= 0)
                .filter(e -> e.range().contains(hash))
                .allMatch(e -> e.isHoldLapsed(nowNanos));
    }

    private List<RangeEntry> liveOverlapping(KeyRange range) {
        return ranges.overlapping(range).stream()
                .filter(e -> e.state().compareTo(State.SERVING) <= 0)
                .toList();
    }

    private static String line(String event, KeyRange range, Generation fence) {
        return "event=" + event + " range=" + range + " fence=" + fence;
    }
}
