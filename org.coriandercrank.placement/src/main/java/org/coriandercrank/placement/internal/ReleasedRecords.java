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
 * Outcome records of ranges that this daemon has released, kept for the next owner.
 *
 * <p>Not thread safe. Records count for one (requester, generation) only: once they were handed over, another member
 * may have served the range, so that they are not complete for anybody else. The number of records is bounded; the
 * oldest entry is dropped first, which makes the next owner treat the records as lost.
 */
final class ReleasedRecords {
    private record Recipient(MemberId requester, Generation generation) {}

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

    void add(KeyRange range, Generation generation, TransferredRecords records, long nowMs) {
        remove(range);
        entries.addLast(new Entry(range, generation, records, nowMs, null));
        long total = entries.stream().mapToLong(e -> e.records.records().size()).sum();
        while (!entries.isEmpty() && (total > maxRecords || entries.size() > MAX_ENTRIES)) {
            total -= entries.removeFirst().records.records().size();
        }
    }

    /** The records of a range for a requester; repeating the request gives the same records. */
    ReleaseAnswer handOver(KeyRange range, MemberId requester, Generation generation, long nowMs) {
        Recipient recipient = new Recipient(requester, generation);
        long completeForMs = ReleaseAnswer.NOT_SERVED;
        List<OutcomeRecord> records = new ArrayList<>();
        List<Handover> handovers = new ArrayList<>();
        Deque<Entry> remaining = new ArrayDeque<>();
        for (Entry entry : entries) {
            KeyRange common = KeyRanges.intersect(entry.range, range).orElse(null);
            if (common == null) {
                remaining.addLast(entry);
                continue;
            }
            long retainedForMs = nowMs - entry.releasedAtMs;
            addRecords(entry, common, retainedForMs, records);
            entry.records.handovers().stream()
                    .filter(h -> h.range().overlaps(common))
                    .forEach(handovers::add);
            if (entry.recipient == null || entry.recipient.equals(recipient)) {
                long ageMs = addSaturated(entry.records.completeForMs(), retainedForMs);
                completeForMs = completeForMs < 0 ? ageMs : Math.min(completeForMs, ageMs);
                KeyRanges.subtract(entry.range, List.of(common))
                        .forEach(rest -> remaining.addLast(entry.withRange(rest, entry.recipient)));
                remaining.addLast(entry.withRange(common, recipient));
            } else {
                remaining.addLast(entry);
            }
        }
        entries = remaining;
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

    /** Drops what is known of a range, because this daemon serves it again. */
    void remove(KeyRange range) {
        Deque<Entry> remaining = new ArrayDeque<>();
        for (Entry entry : entries) {
            KeyRanges.subtract(entry.range, List.of(range))
                    .forEach(rest -> remaining.addLast(entry.withRange(rest, entry.recipient)));
        }
        entries = remaining;
    }

    /** Drops the entries that no assignment of a table needs any more. */
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
