package org.coriandercrank.gate.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.gate.internal.BarList.Certainty;
import org.coriandercrank.gate.internal.RecordTable.Kept;
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
    private record KeyOfHash(KeyHash hash, IdempotencyKey key) {}

    private final RecordTable records;
    private final BarList bars;
    private final ExecutedFilter executed;
    private final Map<RequestId, Execution> activeById = new HashMap<>();
    private final Map<KeyOfHash, Execution> activeByKey = new HashMap<>();
    private final Set<Execution> active = new LinkedHashSet<>();

    public RequestTable(RecordTable records, BarList bars, ExecutedFilter executed) {
        this.records = records;
        this.bars = bars;
        this.executed = executed;
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
    public Lookup lookup(CallerRequest request, KeyHash hash, long digest, long nowNanos) {
        Execution sameId = activeById.get(request.id());
        if (sameId != null) {
            return sameId.isSameRequest(hash, digest) ? Lookup.of(sameId) : otherRequestWithId();
        }
        Optional<Kept> kept = records.find(request.id());
        if (kept.isPresent()) {
            return kept.get().isSameRequest(hash, digest) ? Lookup.of(kept.get().answer()) : otherRequestWithId();
        }
        Optional<Certainty> barred = bars.find(request.id());
        if (barred.equals(Optional.of(Certainty.NOT_RUN))) {
            return Lookup.of(ResultCode.BARRED, "the request id was barred");
        }
        if (barred.isPresent()) {
            return Lookup.of(ResultCode.OUTCOME_UNKNOWN, "the request id was barred; it may have been executed before");
        }
        if (records.lostAnswerOf(request.id())) {
            return Lookup.of(ResultCode.OUTCOME_UNKNOWN, "the request was executed; its answer is not kept any more");
        }
        return request.idempotencyKey()
                .map(key -> lookupKey(request, key, hash, digest, nowNanos))
                .orElse(Lookup.NEW);
    }

    private Lookup lookupKey(CallerRequest request, IdempotencyKey key, KeyHash hash, long digest, long nowNanos) {
        Execution running = activeByKey.get(new KeyOfHash(hash, key));
        if (running != null) {
            return running.digest() == digest ? Lookup.of(running) : reusedKey();
        }
        Optional<Kept> kept = records.find(hash, key);
        if (kept.isEmpty()) {
            return Lookup.NEW;
        }
        Kept first = kept.get();
        if (first.digest() != digest) {
            return reusedKey();
        }
        records.put(new Kept(request.id(), first.key(), hash, digest, first.answer(), first.madeAtNanos()), nowNanos);
        return Lookup.of(first.answer());
    }

    private static Lookup otherRequestWithId() {
        return Lookup.of(ResultCode.BAD_REQUEST_ID, "the request id was used before for a different request");
    }

    private static Lookup reusedKey() {
        return Lookup.of(ResultCode.IDEMPOTENCY_KEY_REUSED, "the key was used before for a different request");
    }

    public void add(Execution execution) {
        active.add(execution);
        activeById.put(execution.request().id(), execution);
        execution
                .request()
                .idempotencyKey()
                .ifPresent(key -> activeByKey.put(new KeyOfHash(execution.hash(), key), execution));
    }

    /** Adds a waiter and makes its id known. */
    public void attach(Execution execution, Execution.Waiter waiter) {
        execution.attach(waiter);
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
        execution.ids().forEach(activeById::remove);
        Optional<IdempotencyKey> key = execution.request().idempotencyKey();
        key.ifPresent(k -> activeByKey.remove(new KeyOfHash(execution.hash(), k)));
        if (answer.outcome() == Outcome.NOT_RUN) {
            return;
        }
        for (RequestId id : execution.ids()) {
            executed.add(id);
            if (execution.isRunOnce()) {
                records.put(new Kept(id, key, execution.hash(), execution.digest(), answer, nowNanos), nowNanos);
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
     * @param memoryReachesBack whether the gate has seen each request that the query can be about
     */
    public OutcomeAnswer resolve(RequestId id, boolean memoryReachesBack, long nowNanos) {
        if (activeById.containsKey(id)) {
            return OutcomeAnswer.of(OutcomeAnswer.State.RUNNING);
        }
        Optional<Kept> kept = records.find(id);
        if (kept.isPresent()) {
            return OutcomeAnswer.finished(kept.get().answer());
        }
        Optional<Certainty> before = bars.find(id);
        if (before.isPresent()) {
            return OutcomeAnswer.of(
                    before.get() == Certainty.NOT_RUN ? OutcomeAnswer.State.BARRED : OutcomeAnswer.State.UNKNOWN);
        }
        boolean notRun = memoryReachesBack && !records.lostAnswerOf(id) && !executed.mayContain(id);
        boolean barred = bars.bar(id, notRun ? Certainty.NOT_RUN : Certainty.UNKNOWN, nowNanos);
        return OutcomeAnswer.of(notRun && barred ? OutcomeAnswer.State.BARRED : OutcomeAnswer.State.UNKNOWN);
    }
}
