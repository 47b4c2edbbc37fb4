package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.HeldRangesReport;
import org.coriandercrank.kernel.message.ReleaseAnswer;
import org.coriandercrank.kernel.message.ReleaseRequest;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.placement.internal.HeldRange.Phase;

/**
 * State machine for the ranges of one service at one daemon.
 *
 * <p>Not thread safe. It performs no I/O: the caller reports events, gets the actions to perform from {@link #poll} and
 * reports their results. Invariants:
 *
 * <ul>
 *   <li>The generation of the applied table never decreases.
 *   <li>In a new era of the store nothing is acquired or handed over before a table of the era is applied, because the
 *       store may have lost newer tables than the present one. What is served stays served.
 *   <li>Held ranges do not overlap, so no hash is acquired twice.
 *   <li>A release request with a newer generation than the table sets a barrier on its range: no hash of the range is
 *       acquired before a table with at least that generation is applied.
 *   <li>A release request is answered as released only if no held range overlaps the requested range. If the table is
 *       at least as new as the request, it must also not assign any part of the requested range to this daemon.
 *   <li>If a newer table assigns a served hash to this daemon again and names no previous owners, the daemon goes on
 *       serving the hash under its old fencing token, because no other member can have served it in between.
 * </ul>
 */
public final class OwnershipState {
    /**
     * A part of a served range that the table moves to another member, which has not requested the release yet.
     *
     * @param untilMs monotonic time at which the part is released even without a request; {@link #NOT_SET} before the
     *     first poll
     */
    private record DeferredRelease(KeyRange range, long untilMs) {
        static final long NOT_SET = Long.MIN_VALUE;
    }

    private final MemberId self;
    private final long minRetryDelayMs;
    private final long maxRetryDelayMs;
    private final long releaseGraceMs;
    private final ReleasedRecords releasedRecords;
    private final Set<MemberId> removedMembers = new HashSet<>();
    private AssignmentTable table;
    private Era era = Era.NONE;
    private List<RangeAssignment> ownAssignments = List.of();
    private boolean sealed;
    private boolean reconcileNeeded;

    /** In ascending order of their ranges, like {@link #ownAssignments} and {@link #deferredReleases}. */
    private List<HeldRange> heldRanges = new ArrayList<>();

    private final ReleaseBarriers barriers = new ReleaseBarriers();
    private List<DeferredRelease> deferredReleases = new ArrayList<>();
    private Map<PendingRange.Id, PendingRange> pending = new LinkedHashMap<>();

    /**
     * Creates a state that holds no ranges. The options are those of {@code RangeOwnershipOptions}.
     *
     * @param releaseGraceMs how long a range that the table assigns to another member stays served while that member
     *     has not requested its release. The old owner often receives a table before the new owner; if it released the
     *     range immediately, no member would serve the range in between.
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

    /** Notes the latest era of the store. The records of members that were removed may be there again in a new one. */
    public void observeEra(Era observed) {
        if (observed.isNewerThan(era)) {
            era = observed;
            removedMembers.clear();
        }
    }

    /** Whether the store may have lost newer tables than the present one. */
    private boolean isTableOutdated() {
        return era.isNewerThan(table.generation().era());
    }

    /** Returns the ranges that are served, with their fencing tokens. */
    public List<HeldRangesReport.Held> servedRanges() {
        reconcileIfNeeded();
        return heldRanges.stream()
                .filter(h -> h.phase() == Phase.SERVING)
                .map(h -> new HeldRangesReport.Held(h.range(), h.fence()))
                .toList();
    }

    /** Whether nothing is being acquired or released, so that {@link #servedRanges} is all that is held. */
    public boolean isQuiescent() {
        reconcileIfNeeded();
        return heldRanges.stream().allMatch(h -> h.phase() == Phase.SERVING);
    }

    /** Applies a table if it is newer than the current one and not of an earlier era than the latest one. */
    public void applyTable(AssignmentTable newTable) {
        observeEra(newTable.generation().era());
        if (!newTable.generation().isNewerThan(table.generation())
                || era.isNewerThan(newTable.generation().era())) {
            return;
        }
        table = newTable;
        ownAssignments = newTable.ownedBy(self);
        barriers.tableApplied(table.generation());
        releasedRecords.prune(table, self);
        removedMembers.removeIf(m -> !table.references(m));
        deferReleases();
        reconcile();
    }

    /** Makes this daemon release every range and acquire none from now on. */
    public void seal() {
        if (!sealed) {
            sealed = true;
            reconcile();
        }
    }

    /** Reports that the stored record of a member is sealed or missing. */
    public void memberRemoved(MemberId member) {
        removedMembers.add(member);
    }

    /**
     * Handles a release request of the new owner of a range. While the release is running, the caller repeats the call
     * until there is an answer.
     *
     * @return the answer, or empty while a release is still running
     */
    public Optional<ReleaseAnswer> handleReleaseRequest(ReleaseRequest request, long nowMs) {
        KeyRange range = request.range();
        observeEra(request.generation().era());
        if (era.isNewerThan(request.generation().era())) {
            return Optional.of(ReleaseAnswer.notReleased());
        }
        reconcileNeeded |= deferredReleases.removeIf(d -> d.range.overlaps(range));
        if (request.generation().isNewerThan(table.generation())) {
            reconcileNeeded |= barriers.add(range, request.generation());
        } else if (!sealed && isAssignedToSelf(range)) {
            return Optional.of(ReleaseAnswer.notReleased());
        }
        if (!heldIn(range).isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(releasedRecords.handOver(range, request.requester(), request.generation(), nowMs));
    }

    private boolean isAssignedToSelf(KeyRange range) {
        return !assignedIn(range).isEmpty();
    }

    private List<RangeAssignment> assignedIn(KeyRange range) {
        return KeyRanges.overlapping(ownAssignments, RangeAssignment::range, range);
    }

    private List<HeldRange> heldIn(KeyRange range) {
        return KeyRanges.overlapping(heldRanges, HeldRange::range, range);
    }

    /** The actions to perform now. An action is not returned again before its result is reported. */
    public List<OwnershipAction> poll(long nowMs, Predicate<MemberId> isSealed) {
        Predicate<MemberId> isSealedOrRemoved = m -> removedMembers.contains(m) || isSealed.test(m);
        List<OwnershipAction> actions = new ArrayList<>();
        reconcileIfNeeded();
        if (isTableOutdated()) {
            abandonAcquires();
        } else {
            expireDeferredReleases(nowMs);
            acquireReady(nowMs, isSealedOrRemoved);
        }
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
        for (PendingRange range : isTableOutdated() ? List.<PendingRange>of() : pending.values()) {
            for (MemberId member : range.dueRequests(nowMs, isSealedOrRemoved)) {
                actions.add(new OwnershipAction.RequestRelease(
                        range.id().range(), range.id().fence(), member));
            }
        }
        return actions;
    }

    /** Releases the ranges whose acquire is not under way; the gate may have granted them without an answer. */
    private void abandonAcquires() {
        heldRanges.replaceAll(h -> h.phase() == Phase.ACQUIRING && !h.callPending() ? h.asReleasing(h.range()) : h);
    }

    /** Defers the release of moved ranges until the new owner, which cannot serve them earlier, requests it. */
    private void deferReleases() {
        List<DeferredRelease> next = new ArrayList<>();
        List<RangeAssignment> movedAway = table.assignments().stream()
                .filter(a -> a.previousOwners().contains(self))
                .toList();
        for (HeldRange heldRange : heldRanges) {
            if (heldRange.phase() != Phase.SERVING) {
                continue;
            }
            KeyRanges.overlapping(movedAway, RangeAssignment::range, heldRange.range()).stream()
                    .flatMap(a -> KeyRanges.intersect(a.range(), heldRange.range()).stream())
                    .forEach(part -> next.add(new DeferredRelease(part, deferredUntilMs(part))));
        }
        deferredReleases = next;
    }

    /** Keeps the deadline of an already deferred release, so that a sequence of tables cannot extend it. */
    private long deferredUntilMs(KeyRange part) {
        return KeyRanges.overlapping(deferredReleases, DeferredRelease::range, part).stream()
                .mapToLong(DeferredRelease::untilMs)
                .min()
                .orElse(DeferredRelease.NOT_SET);
    }

    private void expireDeferredReleases(long nowMs) {
        deferredReleases.replaceAll(
                d -> d.untilMs == DeferredRelease.NOT_SET ? new DeferredRelease(d.range, nowMs + releaseGraceMs) : d);
        if (deferredReleases.removeIf(d -> nowMs >= d.untilMs)) {
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
        heldRanges.sort(Comparator.comparing(HeldRange::range));
    }

    /** Reports the answer of a previous owner to a release request. */
    public void releaseRequestAnswered(OwnershipAction.RequestRelease request, ReleaseAnswer answer, long nowMs) {
        if (!answer.released()) {
            releaseRequestFailed(request, nowMs);
            return;
        }
        pendingRangesOf(request).forEach(p -> p.addAnswer(request.previousOwner(), answer));
    }

    /**
     * Reports that a release request failed or that the previous owner has not released the range yet.
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

    /** Reports that the gate serves a range. */
    public void acquireCompleted(OwnershipAction.Acquire action) {
        releasedRecords.remove(action.range());
        updateHeldRanges(action.range(), HeldRange::asServing);
        reconcileNeeded = true;
    }

    /** Reports that the gate could not acquire a range; the call is repeated later. */
    public void acquireFailed(OwnershipAction.Acquire action, long nowMs) {
        updateHeldRanges(action.range(), h -> h.withRetryAt(nowMs + maxRetryDelayMs));
        reconcileNeeded = true;
    }

    /** Reports that the gate has released a range, with the outcome records to retain for the next owner. */
    public void releaseCompleted(OwnershipAction.Release action, TransferredRecords records, long nowMs) {
        for (HeldRange heldRange : List.copyOf(heldRanges)) {
            if (heldRange.range().equals(action.range())) {
                heldRanges.remove(heldRange);
                if (heldRange.served()) {
                    releasedRecords.add(
                            action.range(),
                            barriers.newestGeneration(action.range(), table.generation()),
                            records,
                            nowMs);
                }
            }
        }
        reconcileNeeded = true;
    }

    /** Reports that the gate could not release a range; the call is repeated later. */
    public void releaseFailed(OwnershipAction.Release action, long nowMs) {
        updateHeldRanges(action.range(), h -> h.withRetryAt(nowMs + maxRetryDelayMs));
    }

    private void updateHeldRanges(KeyRange range, UnaryOperator<HeldRange> change) {
        heldRanges.replaceAll(h -> h.range().equals(range) ? change.apply(h) : h);
    }

    /** Reconciles once after a batch of results and requests instead of after each of them. */
    private void reconcileIfNeeded() {
        if (reconcileNeeded) {
            reconcile();
        }
    }

    /** Recomputes which parts of the held ranges are kept or released, and which ranges are pending. */
    private void reconcile() {
        reconcileNeeded = false;
        List<HeldRange> next = new ArrayList<>();
        for (HeldRange heldRange : heldRanges) {
            if (heldRange.phase() == Phase.RELEASING || heldRange.callPending()) {
                next.add(heldRange);
                continue;
            }
            List<KeyRange> retained = retainedParts(heldRange);
            retained.forEach(part -> next.add(heldRange.withRange(part)));
            KeyRanges.subtract(heldRange.range(), retained).forEach(part -> next.add(heldRange.asReleasing(part)));
        }
        next.sort(Comparator.comparing(HeldRange::range));
        heldRanges = next;
        pending = findPending();
    }

    /** The parts of a held range that the table allows this daemon to serve, and those whose release is deferred. */
    private List<KeyRange> retainedParts(HeldRange heldRange) {
        List<KeyRange> parts = new ArrayList<>(allowedParts(heldRange));
        if (sealed || heldRange.phase() != Phase.SERVING) {
            return parts;
        }
        for (DeferredRelease part :
                KeyRanges.overlapping(deferredReleases, DeferredRelease::range, heldRange.range())) {
            KeyRanges.intersect(part.range, heldRange.range()).ifPresent(intersection -> {
                List<KeyRange> excluded = new ArrayList<>(parts);
                excluded.addAll(barriers.overlapping(intersection));
                parts.addAll(KeyRanges.subtract(intersection, excluded));
            });
        }
        parts.sort(null);
        return parts;
    }

    /** The parts of a held range that the table allows this daemon to serve. */
    private List<KeyRange> allowedParts(HeldRange heldRange) {
        if (sealed) {
            return List.of();
        }
        List<KeyRange> parts = new ArrayList<>();
        for (RangeAssignment assignment : assignedIn(heldRange.range())) {
            boolean mayServe = assignment.fence().equals(heldRange.fence())
                    || (heldRange.phase() == Phase.SERVING
                            && assignment.previousOwners().isEmpty());
            if (mayServe) {
                KeyRanges.intersect(assignment.range(), heldRange.range())
                        .ifPresent(intersection ->
                                parts.addAll(KeyRanges.subtract(intersection, barriers.overlapping(intersection))));
            }
        }
        return parts;
    }

    /** The assigned ranges that this daemon does not hold yet; known pending ranges keep their answers. */
    private Map<PendingRange.Id, PendingRange> findPending() {
        Map<PendingRange.Id, PendingRange> next = new LinkedHashMap<>();
        if (sealed) {
            return next;
        }
        for (RangeAssignment assignment : ownAssignments) {
            List<HeldRange> overlapping = heldIn(assignment.range());
            if (overlapping.stream().anyMatch(h -> h.phase() != Phase.SERVING)) {
                continue;
            }
            List<KeyRange> excluded = new ArrayList<>(barriers.overlapping(assignment.range()));
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
     * The generation of the table, or {@link Generation#NONE} while this daemon still holds a range that the table does
     * not assign to it.
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

    /** Whether there are neither held nor pending ranges. */
    public boolean isIdle() {
        reconcileIfNeeded();
        return heldRanges.isEmpty() && pending.isEmpty();
    }
}
