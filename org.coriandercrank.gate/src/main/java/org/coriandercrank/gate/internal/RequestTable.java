package org.coriandercrank.gate.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.gate.internal.BarredRequestIds.ReportedOutcome;
import org.coriandercrank.gate.internal.RecordTable.StoredRecord;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.IdempotencyKey;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;

/**
 * What the gate knows of request ids and idempotency keys; decides whether a request may be admitted.
 *
 * <p>Invariant: an id or idempotency key that has an active execution, or a kept answer with outcome RUN or UNKNOWN,
 * leads to no other execution. Answers with outcome NOT_RUN are not kept, so a later attempt may run; an outcome query
 * then bars the id, so that what it reported stays true. Not thread safe.
 */
public final class RequestTable {
    private record ScopedKey(KeyHash hash, IdempotencyKey key) {}

    private final RecordTable records;
    private final BarredRequestIds barredIds;
    private final ExecutedIdFilter executedIds;
    private final Map<RequestId, Execution> activeById = new HashMap<>();
    private final Map<ScopedKey, Execution> activeByKey = new HashMap<>();
    private final Set<Execution> active = new LinkedHashSet<>();

    public RequestTable(RecordTable records, BarredRequestIds barredIds, ExecutedIdFilter executedIds) {
        this.records = records;
        this.barredIds = barredIds;
        this.executedIds = executedIds;
    }

    /** What the table says to a submitted request; both parts are empty for a request that it does not know. */
    public record Lookup(Optional<Execution> running, Optional<CallerAnswer> answer) {
        private static final Lookup NEW = new Lookup(Optional.empty(), Optional.empty());

        private static Lookup of(Execution running) {
            return new Lookup(Optional.of(running), Optional.empty());
        }

        private static Lookup of(CallerAnswer answer) {
            return new Lookup(Optional.empty(), Optional.of(answer));
        }

        private static Lookup of(ResultCode code, String detail) {
            return of(CallerAnswer.of(code, detail));
        }
    }

    /** Finds the execution or the answer that a request shares with an earlier one. */
    public Lookup lookup(CallerRequest request, KeyHash hash, long requestDigest, long nowNanos) {
        Execution activeExecution = activeById.get(request.id());
        if (activeExecution != null) {
            return activeExecution.isSameRequest(hash, requestDigest) ? Lookup.of(activeExecution) : requestIdReused();
        }
        Optional<StoredRecord> stored = records.find(request.id());
        if (stored.isPresent()) {
            return stored.get().isSameRequest(hash, requestDigest) ? Lookup.of(stored.get().answer()) : requestIdReused();
        }
        Optional<ReportedOutcome> reportedOutcome = barredIds.find(request.id());
        if (reportedOutcome.equals(Optional.of(ReportedOutcome.NOT_RUN))) {
            return Lookup.of(ResultCode.BARRED, "the request id was barred");
        }
        if (reportedOutcome.isPresent()) {
            return Lookup.of(ResultCode.OUTCOME_UNKNOWN, "the request id was barred; it may have been executed before");
        }
        if (records.wasEvicted(request.id())) {
            return Lookup.of(ResultCode.OUTCOME_UNKNOWN, "the request was executed; its answer is not kept any more");
        }
        return request.idempotencyKey()
                .map(key -> lookupByKey(request, key, hash, requestDigest, nowNanos))
                .orElse(Lookup.NEW);
    }

    private Lookup lookupByKey(CallerRequest request, IdempotencyKey key, KeyHash hash, long requestDigest, long nowNanos) {
        Execution activeExecution = activeByKey.get(new ScopedKey(hash, key));
        if (activeExecution != null) {
            return activeExecution.requestDigest() == requestDigest ? Lookup.of(activeExecution) : idempotencyKeyReused();
        }
        Optional<StoredRecord> stored = records.find(hash, key);
        if (stored.isEmpty()) {
            return Lookup.NEW;
        }
        StoredRecord first = stored.get();
        if (first.requestDigest() != requestDigest) {
            return idempotencyKeyReused();
        }
        records.put(new StoredRecord(request.id(), first.idempotencyKey(), hash, requestDigest, first.answer(), first.createdAtNanos()), nowNanos);
        return Lookup.of(first.answer());
    }

    private static Lookup requestIdReused() {
        return Lookup.of(ResultCode.BAD_REQUEST_ID, "the request id was used before for a different request");
    }

    private static Lookup idempotencyKeyReused() {
        return Lookup.of(ResultCode.IDEMPOTENCY_KEY_REUSED, "the key was used before for a different request");
    }

    public void add(Execution execution) {
        active.add(execution);
        activeById.put(execution.request().id(), execution);
        execution
                .request()
                .idempotencyKey()
                .ifPresent(key -> activeByKey.put(new ScopedKey(execution.hash(), key), execution));
    }

    /** Adds a waiter and makes its id known. */
    public void addWaiter(Execution execution, Execution.Waiter waiter) {
        execution.addWaiter(waiter);
        activeById.put(waiter.id(), execution);
    }

    public Optional<Execution> active(RequestId id) {
        return Optional.ofNullable(activeById.get(id));
    }

    public Collection<Execution> active() {
        return active;
    }

    /** Ends an execution and keeps its answer if it must not run again. */
    public void finish(Execution execution, CallerAnswer answer, long nowNanos) {
        active.remove(execution);
        execution.requestIds().forEach(activeById::remove);
        Optional<IdempotencyKey> key = execution.request().idempotencyKey();
        key.ifPresent(k -> activeByKey.remove(new ScopedKey(execution.hash(), k)));
        if (answer.outcome() == Outcome.NOT_RUN) {
            return;
        }
        for (RequestId id : execution.requestIds()) {
            executedIds.add(id);
            if (execution.isAtMostOnce()) {
                records.put(new StoredRecord(id, key, execution.hash(), execution.requestDigest(), answer, nowNanos), nowNanos);
            }
        }
    }

    /**
     * Answers an outcome query.
     *
     * <ul>
     *   <li>FINISHED: a kept answer, with outcome RUN or UNKNOWN.
     *   <li>RUNNING: queued or at the backend server, even if the callers got their answer at the deadline.
     *   <li>BARRED: not executed, and from now on refused.
     *   <li>UNKNOWN: executed without a kept answer, or the memory of the gate does not reach back. The id is barred
     *       too, so a later query gets the same answer.
     * </ul>
     *
     * @param historyComplete whether the gate has seen each request that the query can be about
     */
    public OutcomeAnswer resolve(RequestId id, boolean historyComplete, long nowNanos) {
        if (activeById.containsKey(id)) {
            return OutcomeAnswer.of(OutcomeAnswer.State.RUNNING);
        }
        Optional<StoredRecord> stored = records.find(id);
        if (stored.isPresent()) {
            return OutcomeAnswer.finished(stored.get().answer());
        }
        Optional<ReportedOutcome> earlierReport = barredIds.find(id);
        if (earlierReport.isPresent()) {
            return OutcomeAnswer.of(
                    earlierReport.get() == ReportedOutcome.NOT_RUN ? OutcomeAnswer.State.BARRED : OutcomeAnswer.State.UNKNOWN);
        }
        boolean notRun = historyComplete && !records.wasEvicted(id) && !executedIds.mayContain(id);
        boolean barred = barredIds.bar(id, notRun ? ReportedOutcome.NOT_RUN : ReportedOutcome.UNKNOWN, nowNanos);
        return OutcomeAnswer.of(notRun && barred ? OutcomeAnswer.State.BARRED : OutcomeAnswer.State.UNKNOWN);
    }
}
