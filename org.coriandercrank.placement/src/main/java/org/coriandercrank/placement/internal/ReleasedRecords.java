package org.coriandercrank.placement.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.ReleaseAnswer;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.request.OutcomeRecord;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;

/**
 * Outcome records of ranges that this daemon has released, retained for the next owner of each range.
 *
 * <p>Not thread safe. Records count as complete only for the first recipient, a requester at one generation: after the
 * handover another member may have served the range and added records. The number of records is bounded; the oldest
 * entry is evicted first, and the next owner of its range then treats the records as lost.
 */
final class ReleasedRecords {
    /** The member that records were handed over to, and the generation of its release request. */
    private record Recipient(MemberId requester, Generation generation) {}

    /**
     * The records of one released range.
     *
     * @param generation the entry is kept at least until the table has this generation
     * @param releasedAtMs monotonic time of the release
     * @param recipient null while the records have not been handed over
     */
    private record Entry(
            KeyRange range, Generation generation, TransferredRecords records, long releasedAtMs, Recipient recipient) {
        Entry withRange(KeyRange part, Recipient newRecipient) {
            return new Entry(part, generation, records, releasedAtMs, newRecipient);
        }
    }

    private static final int MAX_ENTRIES = 1_024;

    private final int maxRecords;
    private Deque<Entry> entries = new ArrayDeque<>();

    ReleasedRecords(int maxRecords) {
        this.maxRecords = maxRecords;
    }

    /** Adds the records of a released range, and evicts the oldest entries above the bounds. */
    void add(KeyRange range, Generation generation, TransferredRecords records, long nowMs) {
        remove(range);
        entries.addLast(new Entry(range, generation, records, nowMs, null));
        long total = entries.stream().mapToLong(e -> e.records.records().size()).sum();
        while (!entries.isEmpty() && (total > maxRecords || entries.size() > MAX_ENTRIES)) {
            total -= entries.removeFirst().records.records().size();
        }
    }

    /** Hands over the records of a range to a requester. A repeated request gets the same records. */
    ReleaseAnswer handOver(KeyRange range, MemberId requester, Generation generation, long nowMs) {
        Recipient recipient = new Recipient(requester, generation);
        long completeForMs = ReleaseAnswer.NOT_SERVED;
        List<OutcomeRecord> records = new ArrayList<>();
        List<Handover> handovers = new ArrayList<>();
        Deque<Entry> updated = new ArrayDeque<>();
        for (Entry entry : entries) {
            KeyRange intersection = KeyRanges.intersect(entry.range, range).orElse(null);
            if (intersection == null) {
                updated.addLast(entry);
                continue;
            }
            long retainedForMs = nowMs - entry.releasedAtMs;
            addRecords(entry, intersection, retainedForMs, records);
            entry.records.handovers().stream()
                    .filter(h -> h.range().overlaps(intersection))
                    .forEach(handovers::add);
            if (entry.recipient == null || entry.recipient.equals(recipient)) {
                long ageMs = addSaturated(entry.records.completeForMs(), retainedForMs);
                completeForMs = completeForMs < 0 ? ageMs : Math.min(completeForMs, ageMs);
                KeyRanges.subtract(entry.range, List.of(intersection))
                        .forEach(rest -> updated.addLast(entry.withRange(rest, entry.recipient)));
                updated.addLast(entry.withRange(intersection, recipient));
            } else {
                updated.addLast(entry);
            }
        }
        entries = updated;
        return new ReleaseAnswer(true, completeForMs, records, handovers);
    }

    private static void addRecords(Entry entry, KeyRange part, long retainedForMs, List<OutcomeRecord> result) {
        for (OutcomeRecord record : entry.records.records()) {
            if (part.contains(record.keyHash())) {
                result.add(new OutcomeRecord(
                        record.requestId(),
                        record.idempotencyKey(),
                        record.keyHash(),
                        record.requestDigest(),
                        record.answer(),
                        addSaturated(record.ageMs(), retainedForMs)));
            }
        }
    }

    /** Removes the records of a range that this daemon serves again. */
    void remove(KeyRange range) {
        Deque<Entry> remaining = new ArrayDeque<>();
        for (Entry entry : entries) {
            KeyRanges.subtract(entry.range, List.of(range))
                    .forEach(rest -> remaining.addLast(entry.withRange(rest, entry.recipient)));
        }
        entries = remaining;
    }

    /**
     * Removes entries that are not needed once a table is applied: those whose range the table neither assigns to this
     * daemon nor moves away from it.
     */
    void prune(AssignmentTable table, MemberId self) {
        entries.removeIf(entry -> !entry.generation.isNewerThan(table.generation())
                && table.assignments().stream()
                        .filter(a -> a.range().overlaps(entry.range))
                        .noneMatch(a ->
                                a.owner().equals(self) || a.previousOwners().contains(self)));
    }

    private static long addSaturated(long a, long b) {
        return a > Long.MAX_VALUE - b ? Long.MAX_VALUE : a + b;
    }
}
