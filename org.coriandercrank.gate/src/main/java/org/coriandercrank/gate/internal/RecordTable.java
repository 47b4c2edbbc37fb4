package org.coriandercrank.gate.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.kernel.id.IdempotencyKey;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.request.OutcomeRecord;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * Final answers by request id and by idempotency key, bounded by count, bytes and age.
 *
 * <p>Invariant: each dropped record with an idempotency key is reported to the listener, so that the horizon of its
 * range can be moved. The id of a record that was dropped before its age limit is remembered without its answer. Not
 * thread safe.
 */
public final class RecordTable {
    private static final long RECORD_OVERHEAD_BYTES = 256;
    private static final long HEADER_OVERHEAD_BYTES = 48;
    private static final int MAX_EVICTED_IDS_PER_RECORD = 4;

    /** A kept answer. Immutable. */
    public record StoredRecord(
            RequestId id,
            Optional<IdempotencyKey> idempotencyKey,
            KeyHash hash,
            long requestDigest,
            CallerAnswer answer,
            long createdAtNanos) {
        long sizeBytes() {
            long size = RECORD_OVERHEAD_BYTES + answer.body().length;
            for (Header header : answer.headers()) {
                size += HEADER_OVERHEAD_BYTES
                        + header.name().length()
                        + header.value().length();
            }
            return size;
        }

        boolean isSameRequest(KeyHash otherHash, long otherDigest) {
            return requestDigest == otherDigest && hash.equals(otherHash);
        }
    }

    private record ScopedKey(KeyHash hash, IdempotencyKey key) {}

    private final long retentionNanos;
    private final int maxRecords;
    private final long maxBytes;
    private final BiConsumer<KeyHash, Long> keyedRecordRemoved;
    private final LinkedHashMap<RequestId, StoredRecord> recordsById = new LinkedHashMap<>();
    private final Map<ScopedKey, StoredRecord> recordsByKey = new HashMap<>();
    private final LinkedHashMap<RequestId, Long> evictedIds = new LinkedHashMap<>();
    private long totalBytes;

    /** The listener gets the hash and the time of each dropped record that has an idempotency key. */
    public RecordTable(GateOptions options, BiConsumer<KeyHash, Long> keyedRecordRemoved) {
        retentionNanos = TimeUnit.MILLISECONDS.toNanos(options.recordRetentionMs());
        maxRecords = options.maxRecords();
        maxBytes = options.maxRecordBytes();
        this.keyedRecordRemoved = keyedRecordRemoved;
    }

    public void put(StoredRecord stored, long nowNanos) {
        StoredRecord previous = recordsById.remove(stored.id());
        if (previous != null) {
            totalBytes -= previous.sizeBytes();
        }
        recordsById.put(stored.id(), stored);
        totalBytes += stored.sizeBytes();
        stored.idempotencyKey().ifPresent(key -> recordsByKey.put(new ScopedKey(stored.hash(), key), stored));
        while (recordsById.size() > maxRecords || totalBytes > maxBytes) {
            StoredRecord evicted = removeOldest();
            evictedIds.put(evicted.id(), nowNanos);
        }
        if (evictedIds.size() > (long) maxRecords * MAX_EVICTED_IDS_PER_RECORD) {
            Iterator<RequestId> iterator = evictedIds.keySet().iterator();
            iterator.next();
            iterator.remove();
        }
    }

    /** Takes over the records of a range; a record that is present already stays. */
    public void importRecords(TransferredRecords inherited, long nowNanos) {
        for (OutcomeRecord outcomeRecord : inherited.records()) {
            long createdAtNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.min(outcomeRecord.ageMs(), Integer.MAX_VALUE));
            if (!recordsById.containsKey(outcomeRecord.requestId())) {
                put(
                        new StoredRecord(
                                outcomeRecord.requestId(),
                                outcomeRecord.idempotencyKey(),
                                outcomeRecord.keyHash(),
                                outcomeRecord.requestDigest(),
                                outcomeRecord.answer(),
                                createdAtNanos),
                        nowNanos);
            }
        }
    }

    public Optional<StoredRecord> find(RequestId id) {
        return Optional.ofNullable(recordsById.get(id));
    }

    public Optional<StoredRecord> find(KeyHash hash, IdempotencyKey key) {
        return Optional.ofNullable(recordsByKey.get(new ScopedKey(hash, key)));
    }

    /** Whether an id was executed but its answer had to be dropped early. */
    public boolean wasEvicted(RequestId id) {
        return evictedIds.containsKey(id);
    }

    /** Drops what has reached the age limit. */
    public void expire(long nowNanos) {
        while (!recordsById.isEmpty() && nowNanos - recordsById.values().iterator().next().createdAtNanos() >= retentionNanos) {
            removeOldest();
        }
        Iterator<Long> evictionTimes = evictedIds.values().iterator();
        while (evictionTimes.hasNext() && nowNanos - evictionTimes.next() >= retentionNanos) {
            evictionTimes.remove();
        }
    }

    /** Records of a range for its next owner, the newest up to a number of bytes, with a horizon that fits them. */
    public TransferredRecords exportRecords(KeyRange range, RecordHorizon horizon, long maxTransferBytes, long nowNanos) {
        Deque<StoredRecord> inRange = new ArrayDeque<>();
        for (StoredRecord stored : recordsById.values()) {
            if (range.contains(stored.hash())) {
                inRange.addFirst(stored);
            }
        }
        List<OutcomeRecord> exported = new ArrayList<>();
        RecordHorizon exportedHorizon = horizon;
        long exportedBytes = 0;
        for (StoredRecord stored : inRange) {
            exportedBytes += stored.sizeBytes();
            if (exportedBytes <= maxTransferBytes) {
                long ageMs = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - stored.createdAtNanos()));
                exported.add(
                        new OutcomeRecord(stored.id(), stored.idempotencyKey(), stored.hash(), stored.requestDigest(), stored.answer(), ageMs));
            } else if (stored.idempotencyKey().isPresent()) {
                exportedHorizon = exportedHorizon.later(RecordHorizon.startingAt(stored.createdAtNanos()));
            }
        }
        return new TransferredRecords(exportedHorizon.completeForMs(nowNanos), exported);
    }

    public int size() {
        return recordsById.size();
    }

    private StoredRecord removeOldest() {
        Iterator<StoredRecord> iterator = recordsById.values().iterator();
        StoredRecord removed = iterator.next();
        iterator.remove();
        totalBytes -= removed.sizeBytes();
        removed.idempotencyKey().ifPresent(key -> {
            recordsByKey.remove(new ScopedKey(removed.hash(), key), removed);
            keyedRecordRemoved.accept(removed.hash(), removed.createdAtNanos());
        });
        return removed;
    }
}
