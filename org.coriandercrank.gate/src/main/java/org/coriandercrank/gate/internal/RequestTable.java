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
 * Active and finished executions by request id and idempotency key; detects requests that must not be executed again.
 *
 * <p>Invariant: a request id or idempotency key that has an active execution, or a record with outcome RUN or UNKNOWN,
 * is not executed again. Answers with outcome NOT_RUN are not recorded, so a later attempt may run. An outcome query
 * for an id without an active execution or record bars the id, so that the reported outcome stays true. Not thread
 * safe.
 */
public final class RequestTable {
    /** What the gate knows about the executions of requests of a range. */
    public enum RangeHistory {
        /** It received every request that an outcome query can refer to. */
        COMPLETE,
        /** It received every such request until it released the range; the present owner may have received others. */
        RELEASED,
        /** Another gate may have executed a request between two periods in which this gate held the range. */
        INCOMPLETE
    }

    /** An idempotency key together with the key hash of its request, which is its scope. */
    private record ScopedKey(KeyHash hash, IdempotencyKey key) {}

    private final RecordTable records;
    private final BarredRequestIds barredIds;
    private final ExecutedIdFilter executedIds;
    private final Map<RequestId, Execution> activeById = new HashMap<>();
    private final Map<ScopedKey, Execution> activeByIdempotencyKey = new HashMap<>();
    private final Set<Execution> active = new LinkedHashSet<>();

    public RequestTable(RecordTable records, BarredRequestIds barredIds, ExecutedIdFilter executedIds) {
        this.records = records;
        this.barredIds = barredIds;
        this.executedIds = executedIds;
    }

    /**
     * Result of a lookup. Both components are empty for a new request.
     *
     * @param running active execution whose answer the request shares
     * @param answer final answer to the request
     */
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

    /**
     * Finds the active execution or the answer that a request shares with an earlier request.
     *
     * @param rangeHeld whether the gate holds the range of the request or acquires it
     */
    public Lookup lookup(CallerRequest request, KeyHash hash, long requestDigest, boolean rangeHeld, long nowNanos) {
        Execution activeExecution = activeById.get(request.id());
        if (activeExecution != null) {
            return activeExecution.isSameRequest(hash, requestDigest) ? Lookup.of(activeExecution) : requestIdReused();
        }
        Optional<StoredRecord> stored = records.find(request.id());
        if (stored.isPresent()) {
            return stored.get().isSameRequest(hash, requestDigest)
                    ? Lookup.of(stored.get().answer())
                    : requestIdReused();
        }
        Optional<ReportedOutcome> reportedOutcome = barredIds.find(request.id());
        if (reportedOutcome.equals(Optional.of(ReportedOutcome.NOT_RUN))) {
            return Lookup.of(ResultCode.BARRED, "the request id was barred after an outcome query");
        }
        if (reportedOutcome.equals(Optional.of(ReportedOutcome.NOT_RUN_RELEASED)) && !rangeHeld) {
            return Lookup.of(ResultCode.NOT_OWNER, "the range was released before the request id was barred");
        }
        if (reportedOutcome.isPresent()) {
            return Lookup.of(
                    ResultCode.OUTCOME_UNKNOWN, "the request id was barred; the request may have been executed before");
        }
        if (records.wasEvicted(request.id())) {
            return Lookup.of(
                    ResultCode.OUTCOME_UNKNOWN, "the request was executed, but its answer is not available any more");
        }
        return request.idempotencyKey()
                .map(key -> lookupByIdempotencyKey(request, key, hash, requestDigest, nowNanos))
                .orElse(Lookup.NEW);
    }

    private Lookup lookupByIdempotencyKey(
            CallerRequest request, IdempotencyKey key, KeyHash hash, long requestDigest, long nowNanos) {
        Execution activeExecution = activeByIdempotencyKey.get(new ScopedKey(hash, key));
        if (activeExecution != null) {
            return activeExecution.requestDigest() == requestDigest
                    ? Lookup.of(activeExecution)
                    : idempotencyKeyReused();
        }
        Optional<StoredRecord> stored = records.find(hash, key);
        if (stored.isEmpty()) {
            return Lookup.NEW;
        }
        StoredRecord first = stored.get();
        if (first.requestDigest() != requestDigest) {
            return idempotencyKeyReused();
        }
        records.put(
                new StoredRecord(
                        request.id(),
                        first.idempotencyKey(),
                        hash,
                        requestDigest,
                        first.answer(),
                        first.createdAtNanos()),
                nowNanos);
        return Lookup.of(first.answer());
    }

    private static Lookup requestIdReused() {
        return Lookup.of(ResultCode.BAD_REQUEST_ID, "the request id was used before for a different request");
    }

    private static Lookup idempotencyKeyReused() {
        return Lookup.of(
                ResultCode.IDEMPOTENCY_KEY_REUSED, "the idempotency key was used before for a different request");
    }

    /** Adds an admitted execution. */
    public void add(Execution execution) {
        active.add(execution);
        activeById.put(execution.request().id(), execution);
        execution
                .request()
                .idempotencyKey()
                .ifPresent(key -> activeByIdempotencyKey.put(new ScopedKey(execution.hash(), key), execution));
    }

    /** Adds a waiter to an execution and registers the waiter's request id. */
    public void addWaiter(Execution execution, Execution.Waiter waiter) {
        execution.addWaiter(waiter);
        activeById.put(waiter.id(), execution);
    }

    /** Returns the active execution of a request id. */
    public Optional<Execution> active(RequestId id) {
        return Optional.ofNullable(activeById.get(id));
    }

    /** Returns all active executions. */
    public Collection<Execution> active() {
        return active;
    }

    /** Removes an active execution, and records its answer if the request must not run again. */
    public void finish(Execution execution, CallerAnswer answer, long nowNanos) {
        active.remove(execution);
        execution.requestIds().forEach(activeById::remove);
        Optional<IdempotencyKey> key = execution.request().idempotencyKey();
        key.ifPresent(k -> activeByIdempotencyKey.remove(new ScopedKey(execution.hash(), k)));
        if (answer.outcome() == Outcome.NOT_RUN) {
            return;
        }
        for (RequestId id : execution.requestIds()) {
            executedIds.add(id);
            if (execution.isAtMostOnce()) {
                records.put(
                        new StoredRecord(id, key, execution.hash(), execution.requestDigest(), answer, nowNanos),
                        nowNanos);
            }
        }
    }

    /**
     * Answers an outcome query.
     *
     * <ul>
     *   <li>FINISHED: the gate has a record of the answer, with outcome RUN or UNKNOWN.
     *   <li>RUNNING: the request is queued or runs at the backend server, even if its callers were answered at the
     *       deadline.
     *   <li>BARRED: the request was not executed and is refused from now on.
     *   <li>RELEASED: the request was not executed here and is refused here from now on, but the present owner of the
     *       released range may have executed a copy.
     *   <li>UNKNOWN: the request was executed but its answer is not available, or the history of the gate is
     *       incomplete. The id is barred too, so that later queries get the same answer.
     * </ul>
     */
    public OutcomeAnswer resolve(RequestId id, RangeHistory history, long nowNanos) {
        if (activeById.containsKey(id)) {
            return OutcomeAnswer.of(OutcomeAnswer.State.RUNNING);
        }
        Optional<StoredRecord> stored = records.find(id);
        if (stored.isPresent()) {
            return OutcomeAnswer.finished(stored.get().answer());
        }
        Optional<ReportedOutcome> earlierReport = barredIds.find(id);
        if (earlierReport.isPresent()) {
            return OutcomeAnswer.of(state(earlierReport.get()));
        }
        boolean notRunHere = !records.wasEvicted(id) && !executedIds.mayContain(id);
        ReportedOutcome outcome = notRunHere ? outcomeIfNotRunHere(history) : ReportedOutcome.UNKNOWN;
        boolean barred = barredIds.bar(id, outcome, nowNanos);
        return OutcomeAnswer.of(barred ? state(outcome) : OutcomeAnswer.State.UNKNOWN);
    }

    private static ReportedOutcome outcomeIfNotRunHere(RangeHistory history) {
        return switch (history) {
            case COMPLETE -> ReportedOutcome.NOT_RUN;
            case RELEASED -> ReportedOutcome.NOT_RUN_RELEASED;
            case INCOMPLETE -> ReportedOutcome.UNKNOWN;
        };
    }

    private static OutcomeAnswer.State state(ReportedOutcome outcome) {
        return switch (outcome) {
            case NOT_RUN -> OutcomeAnswer.State.BARRED;
            case NOT_RUN_RELEASED -> OutcomeAnswer.State.RELEASED;
            case UNKNOWN -> OutcomeAnswer.State.UNKNOWN;
        };
    }
}
