package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.ReleaseAnswer;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.request.OutcomeRecord;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * A range that is assigned to this daemon and waits for its previous owners. Not thread safe.
 *
 * <p>It is ready only when each previous owner has released it or is sealed.
 */
final class PendingRange {
    /** What makes two pending ranges the same wait. Immutable. */
    record Id(KeyRange range, Generation fence, List<MemberId> previousOwners) {
        Id {
            previousOwners = List.copyOf(previousOwners);
        }
    }

    private static final Generation FIRST_GENERATION = new Generation(1);

    private final Id id;
    private final Map<MemberId, ReleaseAnswer> answers = new HashMap<>();
    private final Map<MemberId, Integer> attempts = new HashMap<>();
    private final Map<MemberId, Long> nextRequestAtMs = new HashMap<>();

    PendingRange(Id id) {
        this.id = id;
    }

    Id id() {
        return id;
    }

    /** The previous owners to ask now; marks them as asked until an answer or failure is reported. */
    List<MemberId> dueRequests(long nowMs, Predicate<MemberId> sealed) {
        List<MemberId> dueMembers = new ArrayList<>();
        for (MemberId member : id.previousOwners()) {
            if (!answers.containsKey(member)
                    && !sealed.test(member)
                    && nowMs >= nextRequestAtMs.getOrDefault(member, 0L)) {
                nextRequestAtMs.put(member, Long.MAX_VALUE);
                dueMembers.add(member);
            }
        }
        return dueMembers;
    }

    void addAnswer(MemberId member, ReleaseAnswer answer) {
        answers.putIfAbsent(member, answer);
    }

    long scheduleRetry(MemberId member, long nowMs, long minRetryMs, long maxRetryMs) {
        int attempt = attempts.merge(member, 1, Integer::sum);
        long delayMs = Math.min(maxRetryMs, minRetryMs << Math.min(attempt - 1, 16));
        nextRequestAtMs.put(member, nowMs + delayMs);
        return delayMs;
    }

    boolean isReady(Predicate<MemberId> sealed) {
        return id.previousOwners().stream().allMatch(m -> answers.containsKey(m) || sealed.test(m));
    }

    /**
     * What the gate inherits: complete as far back as the last member that served the range says, and not at all if
     * that member cannot be known.
     *
     * @param ownAnswer records that this daemon itself kept of the range
     */
    TransferredRecords transferredRecords(ReleaseAnswer ownAnswer) {
        boolean neverServed =
                id.previousOwners().isEmpty() && ownAnswer.recordsCompleteForMs() == ReleaseAnswer.NOT_SERVED;
        if (neverServed && id.fence().equals(FIRST_GENERATION)) {
            return TransferredRecords.NEVER_OWNED;
        }
        List<ReleaseAnswer> all = new ArrayList<>(answers.values());
        all.add(ownAnswer);
        long completeForMs = all.stream()
                .mapToLong(ReleaseAnswer::recordsCompleteForMs)
                .filter(ms -> ms != ReleaseAnswer.NOT_SERVED)
                .min()
                .orElse(0);
        boolean answerMissing = !answers.keySet().containsAll(id.previousOwners());
        List<OutcomeRecord> records =
                all.stream().flatMap(a -> a.records().stream()).toList();
        List<Handover> handovers =
                all.stream().flatMap(a -> a.handovers().stream()).toList();
        return new TransferredRecords(answerMissing ? 0 : completeForMs, records, handovers);
    }
}
