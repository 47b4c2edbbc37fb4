package org.coriandercrank.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.coriandercrank.kernel.table.Member;

/**
 * Writes of one member record whose outcome is not known: each may have taken effect or may still do so. Of writes with
 * the same content, only the earliest and the latest are kept.
 *
 * <p>Not thread safe. Times are monotonic, in nanoseconds.
 */
final class PendingWrites {
    /** Bounds the memory used while the store answers reads but not writes. */
    private static final int MAX_WRITES = 8;

    record PendingWrite(Member record, long sentAtNanos) {}

    private final List<PendingWrite> writes = new ArrayList<>();

    boolean isEmpty() {
        return writes.isEmpty();
    }

    /** Whether no write with new content may be added. */
    boolean isFull() {
        return writes.size() >= MAX_WRITES;
    }

    void add(Member record, long sentAtNanos) {
        List<PendingWrite> same =
                writes.stream().filter(write -> write.record().equals(record)).toList();
        writes.removeAll(same.subList(Math.min(1, same.size()), same.size()));
        writes.add(new PendingWrite(record, sentAtNanos));
    }

    PendingWrite latest() {
        return writes.get(writes.size() - 1);
    }

    void removeLatest() {
        writes.remove(writes.size() - 1);
    }

    void clear() {
        writes.clear();
    }

    Stream<Member> records() {
        return writes.stream().map(PendingWrite::record);
    }

    /** Returns when a record was first sent; empty if it is not pending. */
    OptionalLong earliestSendNanos(Member record) {
        return writes.stream()
                .filter(write -> write.record().equals(record))
                .mapToLong(PendingWrite::sentAtNanos)
                .reduce(Nanos::earlier);
    }
}
