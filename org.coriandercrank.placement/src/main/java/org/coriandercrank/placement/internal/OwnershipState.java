package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.ReleaseAnswer;
import org.coriandercrank.kernel.message.ReleaseRequest;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.placement.internal.HeldRange.Phase;

/**
 * State machine of the ranges of one service at one daemon.
 *
 * <p>Not thread safe and without I/O: the caller reports events, then takes the actions from {@link #poll}. Invariants:
 *
 * <ul>
 *   <li>The applied table never gets older.
 *   <li>Holdings do not overlap, so nothing is acquired twice.
 *   <li>A release request newer than the table sets a barrier: no hash in it is acquired before the table has at least
 *       the generation of the request.
 *   <li>A request is answered as released only if no holding overlaps it and the table, if it is as new as the request,
 *       does not assign any of it to this daemon.
 *   <li>A daemon that keeps a hash across a newer assignment to itself without previous owners goes on serving it under
 *       its old fence; nobody else can have served it in between.
 * </ul>
 */
public final class OwnershipState {
    private record Barrier(KeyRange range, Generation generation) {}

    /**
     * A part of a served range that the table gives to another member, which has not asked for it yet.
     *
     * @param untilMs when it is released without being asked for; {@link #NOT_SET} before the first poll
     */
    private record DeferredRelease(KeyRange range, long untilMs) {
        static final long NOT_SET = Long.MIN_VALUE;
    }

    private static final int MAX_BARRIERS = 1_024;

    private final MemberId self;
    private final long minRetryDelayMs;
    private final long maxRetryDelayMs;
    private final long releaseGraceMs;
    private final ReleasedRecords releasedRecords;
    private final Set<MemberId> removedMembers = new HashSet<>();
    private AssignmentTable table;
    private List<RangeAssignment> ownAssignments = List.of();
    private boolean sealed;
    private boolean reconcileNeeded;
    private List<HeldRange> heldRanges = new ArrayList<>();
    private List<Barrier> barriers = new ArrayList<>();
    private List<DeferredRelease> deferredReleases = new ArrayList<>();
    private Map<PendingRange.Id, PendingRange> pending = new LinkedHashMap<>();

    /**
     * A state without ranges.
     *
     * @param releaseGraceMs how long a range that the table gives to another member is served until that member asks for it;
     *     the old owner often learns of a table before the new one, and the range would be served by nobody meanwhile
     */
    public OwnershipState(
            MemberId self,
            ServiceName service,
            long minRetryDelayMs,
            long maxRetryDelayMs,
            long releaseGraceMs,
            int maxRetainedRecords) {
        this.releaseGraceMs = releaseGraceMs;
        this.self = self;
        this.minRetryDelayMs = minRetryDelayMs;
        this.maxRetryDelayMs = maxRetryDelayMs;
        this.releasedRecords = new ReleasedRecords(maxRetainedRecords);
        this.table = AssignmentTable.empty(service);
    }

    /** Uses a table if it is newer than the one in use. */
    public void applyTable(AssignmentTable newTable) {
        if (!newTable.generation().isNewerThan(table.generation())) {
            return;
        }
        table = newTable;
        ownAssignments = newTable.ownedBy(self);
        barriers.removeIf(b -> !b.generation.isNewerThan(table.generation()));
        releasedRecords.prune(table, self);
        removedMembers.removeIf(m -> !table.references(m));
        deferReleases();
        reconcile();
    }

    /** Gives up every range for good. */
    public void seal() {
        if (!sealed) {
            sealed = true;
            reconcile();
        }
    }

    /** Notes that the record of a member is certainly sealed or deleted. */
    public void memberRemoved(MemberId member) {
        removedMembers.add(member);
    }

    /**
     * Handles the request of a new owner.
     *
     * @return the answer, or empty while a release is still running
     */
    public Optional<ReleaseAnswer> handleReleaseRequest(ReleaseRequest request, long nowMs) {
        KeyRange range = request.range();
        if (deferredReleases.removeIf(l -> l.range.overlaps(range))) {
            reconcile();
        }
        if (request.generation().isNewerThan(table.generation())) {
            if (addBarrier(new Barrier(range, request.generation()))) {
                reconcile();
            }
        } else if (!sealed && isAssignedToSelf(range)) {
            return Optional.of(ReleaseAnswer.notReleased());
        }
        if (heldRanges.stream().anyMatch(h -> h.range().overlaps(range))) {
            return Optional.empty();
        }
        return Optional.of(releasedRecords.handOver(range, request.requester(), request.generation(), nowMs));
    }

    private boolean isAssignedToSelf(KeyRange range) {
        return table.assignments().stream()
                .anyMatch(a -> a.owner().equals(self) && a.range().overlaps(range));
    }

    /**
     * Whether the barrier is news. Repeated requests replace each other; above the bound one barrier covers the hash space
     * until the table is newer.
     */
    private boolean addBarrier(Barrier barrier) {
        boolean covered = barriers.stream()
                .anyMatch(b -> b.range.contains(barrier.range) && b.generation.compareTo(barrier.generation) >= 0);
        if (covered) {
            return false;
        }
        barriers.removeIf(b -> barrier.range.contains(b.range) && barrier.generation.compareTo(b.generation) >= 0);
        barriers.add(barrier);
        if (barriers.size() > MAX_BARRIERS) {
            Generation newest = barriers.stream()
                    .map(Barrier::generation)
                    .max(Generation::compareTo)
                    .orElseThrow();
            barriers = new ArrayList<>(List.of(new Barrier(KeyRange.ALL, newest)));
        }
        return true;
    }

    /** What has to be done now; each action is returned once until its result is reported. */
    public List<OwnershipAction> poll(long nowMs, Predicate<MemberId> isSealed) {
        Predicate<MemberId> isSealedOrRemoved = m -> removedMembers.contains(m) || isSealed.test(m);
        List<OwnershipAction> actions = new ArrayList<>();
        reconcileIfNeeded();
        expireDeferredReleases(nowMs);
        acquireReady(nowMs, isSealedOrRemoved);
        for (int i = 0; i < heldRanges.size(); i++) {
            HeldRange heldRange = heldRanges.get(i);
            if (heldRange.phase() == Phase.SERVING || heldRange.callPending() || nowMs < heldRange.retryAtMs()) {
                continue;
            }
            heldRanges.set(i, heldRange.withCallPending());
            actions.add(
                    heldRange.phase() == Phase.RELEASING
                            ? new OwnershipAction.Release(heldRange.range())
                            : new OwnershipAction.Acquire(
                                    heldRange.range(), heldRange.fence(), heldRange.transferred()));
        }
        for (PendingRange range : pending.values()) {
            for (MemberId member : range.dueRequests(nowMs, isSealedOrRemoved)) {
                actions.add(new OwnershipAction.RequestRelease(
                        range.id().range(), range.id().fence(), member));
            }
        }
        return actions;
    }

    /** Serves what a planned move takes away until the new owner asks; the new owner cannot serve before that. */
    private void deferReleases() {
        List<DeferredRelease> next = new ArrayList<>();
        List<RangeAssignment> movedAway = table.assignments().stream()
                .filter(a -> a.previousOwners().contains(self))
                .toList();
        for (HeldRange heldRange : heldRanges) {
            if (heldRange.phase() != Phase.SERVING) {
                continue;
            }
            for (RangeAssignment assignment : movedAway) {
                if (assignment.range().overlaps(heldRange.range())) {
                    KeyRanges.intersect(assignment.range(), heldRange.range())
                            .ifPresent(part -> next.add(new DeferredRelease(part, deferredUntilMs(part))));
                }
            }
        }
        deferredReleases = next;
    }

    /** Keeps the time of a part that lingers already, so that a sequence of tables cannot extend it. */
    private long deferredUntilMs(KeyRange part) {
        return deferredReleases.stream()
                .filter(l -> l.range.overlaps(part))
                .mapToLong(DeferredRelease::untilMs)
                .min()
                .orElse(DeferredRelease.NOT_SET);
    }

    private void expireDeferredReleases(long nowMs) {
        deferredReleases.replaceAll(
                l -> l.untilMs == DeferredRelease.NOT_SET ? new DeferredRelease(l.range, nowMs + releaseGraceMs) : l);
        if (deferredReleases.removeIf(l -> nowMs >= l.untilMs)) {
            reconcile();
        }
    }

    private void acquireReady(long nowMs, Predicate<MemberId> isSealedOrRemoved) {
        List<PendingRange> ready = pending.values().stream()
                .filter(p -> p.isReady(isSealedOrRemoved))
                .toList();
        for (PendingRange range : ready) {
            PendingRange.Id id = range.id();
            pending.remove(id);
            ReleaseAnswer ownAnswer = releasedRecords.handOver(id.range(), self, id.fence(), nowMs);
            heldRanges.add(new HeldRange(
                    id.range(), id.fence(), Phase.ACQUIRING, range.transferredRecords(ownAnswer), false, false, 0));
        }
    }

    /** Reports the answer of a previous owner. */
    public void releaseRequestAnswered(OwnershipAction.RequestRelease request, ReleaseAnswer answer, long nowMs) {
        if (!answer.released()) {
            releaseRequestFailed(request, nowMs);
            return;
        }
        pendingRangesOf(request).forEach(p -> p.addAnswer(request.previousOwner(), answer));
    }

    /**
     * Reports that a previous owner could not be asked, did not answer or has not released the range yet.
     *
     * @return delay until the next attempt, in milliseconds
     */
    public long releaseRequestFailed(OwnershipAction.RequestRelease request, long nowMs) {
        return pendingRangesOf(request).stream()
                .mapToLong(p -> p.scheduleRetry(request.previousOwner(), nowMs, minRetryDelayMs, maxRetryDelayMs))
                .max()
                .orElse(minRetryDelayMs);
    }

    private List<PendingRange> pendingRangesOf(OwnershipAction.RequestRelease request) {
        return pending.values().stream()
                .filter(p ->
                        p.id().range().equals(request.range()) && p.id().fence().equals(request.fence()))
                .toList();
    }

    public void acquired(OwnershipAction.Acquire action) {
        releasedRecords.remove(action.range());
        updateHeldRanges(action.range(), HeldRange::asServing);
        reconcileNeeded = true;
    }

    public void acquireFailed(OwnershipAction.Acquire action, long nowMs) {
        updateHeldRanges(action.range(), h -> h.withRetryAt(nowMs + maxRetryDelayMs));
        reconcileNeeded = true;
    }

    public void releasedRecords(OwnershipAction.Release action, TransferredRecords records, long nowMs) {
        for (HeldRange heldRange : List.copyOf(heldRanges)) {
            if (heldRange.range().equals(action.range())) {
                heldRanges.remove(heldRange);
                if (heldRange.served()) {
                    releasedRecords.add(action.range(), releaseGeneration(action.range()), records, nowMs);
                }
            }
        }
        reconcileNeeded = true;
    }

    public void releaseFailed(OwnershipAction.Release action, long nowMs) {
        updateHeldRanges(action.range(), h -> h.withRetryAt(nowMs + maxRetryDelayMs));
    }

    private Generation releaseGeneration(KeyRange range) {
        return barriers.stream()
                .filter(b -> b.range.overlaps(range))
                .map(Barrier::generation)
                .filter(g -> g.isNewerThan(table.generation()))
                .max(Generation::compareTo)
                .orElse(table.generation());
    }

    private void updateHeldRanges(KeyRange range, UnaryOperator<HeldRange> change) {
        heldRanges.replaceAll(h -> h.range().equals(range) ? change.apply(h) : h);
    }

    /** Results come in groups; what follows from them is worked out once before the next actions. */
    private void reconcileIfNeeded() {
        if (reconcileNeeded) {
            reconcile();
        }
    }

    private void reconcile() {
        reconcileNeeded = false;
        List<HeldRange> next = new ArrayList<>();
        for (HeldRange heldRange : heldRanges) {
            if (heldRange.phase() == Phase.RELEASING || heldRange.callPending()) {
                next.add(heldRange);
                continue;
            }
            List<KeyRange> allowed = retainedParts(heldRange);
            allowed.forEach(part -> next.add(heldRange.withRange(part)));
            KeyRanges.subtract(heldRange.range(), allowed).forEach(part -> next.add(heldRange.asReleasing(part)));
        }
        heldRanges = next;
        pending = findPending();
    }

    /** What the table allows, and what lingers. */
    private List<KeyRange> retainedParts(HeldRange heldRange) {
        List<KeyRange> parts = new ArrayList<>(allowedParts(heldRange));
        if (sealed || heldRange.phase() != Phase.SERVING) {
            return parts;
        }
        for (DeferredRelease part : deferredReleases) {
            KeyRanges.intersect(part.range, heldRange.range()).ifPresent(common -> {
                List<KeyRange> excluded = new ArrayList<>(parts);
                excluded.addAll(barriersIn(common));
                parts.addAll(KeyRanges.subtract(common, excluded));
            });
        }
        parts.sort(null);
        return parts;
    }

    /** Only what overlaps is looked at closely: a service may have hundreds of ranges, and each event comes here. */
    private List<KeyRange> allowedParts(HeldRange heldRange) {
        if (sealed) {
            return List.of();
        }
        List<KeyRange> parts = new ArrayList<>();
        for (RangeAssignment assignment : ownAssignments) {
            if (!assignment.range().overlaps(heldRange.range())) {
                continue;
            }
            boolean keeps = assignment.fence().equals(heldRange.fence())
                    || (heldRange.phase() == Phase.SERVING
                            && assignment.previousOwners().isEmpty());
            if (keeps) {
                KeyRanges.intersect(assignment.range(), heldRange.range())
                        .ifPresent(common -> parts.addAll(KeyRanges.subtract(common, barriersIn(common))));
            }
        }
        return parts;
    }

    private List<KeyRange> barriersIn(KeyRange range) {
        List<KeyRange> overlapping = new ArrayList<>();
        for (Barrier barrier : barriers) {
            if (barrier.range.overlaps(range)) {
                overlapping.add(barrier.range);
            }
        }
        return overlapping;
    }

    private Map<PendingRange.Id, PendingRange> findPending() {
        Map<PendingRange.Id, PendingRange> next = new LinkedHashMap<>();
        if (sealed) {
            return next;
        }
        for (RangeAssignment assignment : ownAssignments) {
            List<HeldRange> overlapping = heldRanges.stream()
                    .filter(h -> h.range().overlaps(assignment.range()))
                    .toList();
            if (overlapping.stream().anyMatch(h -> h.phase() != Phase.SERVING)) {
                continue;
            }
            List<KeyRange> excluded = new ArrayList<>(barriersIn(assignment.range()));
            overlapping.forEach(h -> excluded.add(h.range()));
            for (KeyRange gap : KeyRanges.subtract(assignment.range(), excluded)) {
                PendingRange.Id id = new PendingRange.Id(gap, assignment.fence(), assignment.previousOwners());
                PendingRange existing = pending.get(id);
                next.put(id, existing != null ? existing : new PendingRange(id));
            }
        }
        return next;
    }

    /**
     * The generation of the table if nothing that it takes from this daemon is still held, else {@link
     * Generation#NONE}.
     */
    public Generation appliedGeneration() {
        reconcileIfNeeded();
        boolean transferPending = heldRanges.stream()
                .anyMatch(h -> h.phase() == Phase.RELEASING
                        || !KeyRanges.subtract(h.range(), allowedParts(h)).isEmpty());
        return transferPending ? Generation.NONE : table.generation();
    }

    public AssignmentTable table() {
        return table;
    }

    /** Whether the gate may hold, get or lose any range. */
    public boolean isIdle() {
        reconcileIfNeeded();
        return heldRanges.isEmpty() && pending.isEmpty();
    }
}
