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
 * A range that is assigned to this daemon but not acquired, because its previous owners may still serve it. Not thread
 * safe.
 *
 * <p>The range is ready to be acquired when each previous owner has released it or is sealed.
 */
final class PendingRange {
    /** Identity of a pending range; answers received for it stay valid while the identity is the same. Immutable. */
    record Id(KeyRange range, Generation fence, List<MemberId> previousOwners) {
        Id {
            previousOwners = List.copyOf(previousOwners);
        }
    }

    private static final int MAX_BACKOFF_DOUBLINGS = 16;
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

    /**
     * The previous owners to send a release request to now. They are not returned again until {@link #scheduleRetry} is
     * called.
     */
    List<MemberId> dueRequests(long nowMs, Predicate<MemberId> isSealed) {
        List<MemberId> dueMembers = new ArrayList<>();
        for (MemberId member : id.previousOwners()) {
            if (!answers.containsKey(member)
                    && !isSealed.test(member)
                    && nowMs >= nextRequestAtMs.getOrDefault(member, 0L)) {
                nextRequestAtMs.put(member, Long.MAX_VALUE);
                dueMembers.add(member);
            }
        }
        return dueMembers;
    }

    /** Adds the answer of a previous owner that has released the range; the first answer counts. */
    void addAnswer(MemberId member, ReleaseAnswer answer) {
        answers.putIfAbsent(member, answer);
    }

    /**
     * Schedules another release request to a previous owner, with exponential backoff.
     *
     * @return delay until the request, in milliseconds
     */
    long scheduleRetry(MemberId member, long nowMs, long minRetryDelayMs, long maxRetryDelayMs) {
        int attempt = attempts.merge(member, 1, Integer::sum);
        long delayMs = Math.min(maxRetryDelayMs, minRetryDelayMs << Math.min(attempt - 1, MAX_BACKOFF_DOUBLINGS));
        nextRequestAtMs.put(member, nowMs + delayMs);
        return delayMs;
    }

    boolean isReady(Predicate<MemberId> isSealed) {
        return id.previousOwners().stream().allMatch(m -> answers.containsKey(m) || isSealed.test(m));
    }

    /**
     * The outcome records that the gate receives with the range. They count as complete for the shortest period
     * reported by a member that has served the range. They count as incomplete if no member reports this or if a
     * previous owner did not answer, because the last member that served the range is then unknown. No record can be
     * missing if the first table of the service assigned the range to this daemon.
     *
     * @param ownAnswer the records that this daemon itself retained for the range
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
