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
 * Outcome records: final answers by request id and by idempotency key, limited in number, size and age.
 *
 * <p>Records are removed in order of insertion: they expire by age and are evicted when the number or size exceeds its
 * limit. The id of an evicted record is still remembered without its answer.
 *
 * <p>Invariant: every removal of a record with an idempotency key is reported to the listener, so that the horizons of
 * its range are advanced. Not thread safe.
 */
public final class RecordTable {
    /** Estimated memory of a record without its body and headers. */
    private static final long RECORD_OVERHEAD_BYTES = 256;

    private static final long HEADER_OVERHEAD_BYTES = 48;

    /** Maximum number of remembered ids of evicted records, as a multiple of the maximum number of records. */
    private static final int MAX_EVICTED_IDS_PER_RECORD = 4;

    /**
     * The final answer to a request. Immutable.
     *
     * @param requestDigest digest of method, path and body of the request
     * @param createdAtNanos monotonic time at which the answer became final
     */
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

    /** An idempotency key together with the key hash of its request, which is its scope. */
    private record ScopedKey(KeyHash hash, IdempotencyKey key) {}

    private final long retentionNanos;
    private final int maxRecords;
    private final long maxBytes;
    private final BiConsumer<KeyHash, Long> removalListener;
    private final LinkedHashMap<RequestId, StoredRecord> recordsById = new LinkedHashMap<>();
    private final Map<ScopedKey, StoredRecord> recordsByIdempotencyKey = new HashMap<>();
    private final LinkedHashMap<RequestId, Long> evictedIds = new LinkedHashMap<>();
    private long totalBytes;

    /**
     * Creates an empty table.
     *
     * @param removalListener called with the key hash and creation time of each removed record that has an
     *     idempotency key
     */
    public RecordTable(GateOptions options, BiConsumer<KeyHash, Long> removalListener) {
        retentionNanos = TimeUnit.MILLISECONDS.toNanos(options.recordRetentionMs());
        maxRecords = options.maxRecords();
        maxBytes = options.maxRecordBytes();
        this.removalListener = removalListener;
    }

    /** Adds a record, in place of an earlier one with the same id, and evicts old records if a limit is exceeded. */
    public void put(StoredRecord stored, long nowNanos) {
        StoredRecord previous = recordsById.remove(stored.id());
        if (previous != null) {
            totalBytes -= previous.sizeBytes();
        }
        recordsById.put(stored.id(), stored);
        totalBytes += stored.sizeBytes();
        stored.idempotencyKey()
                .ifPresent(key -> recordsByIdempotencyKey.put(new ScopedKey(stored.hash(), key), stored));
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

    /** Adds the records that were passed on with a range; records that exist already are not replaced. */
    public void importRecords(TransferredRecords transferred, long nowNanos) {
        for (OutcomeRecord outcomeRecord : transferred.records()) {
            long createdAtNanos =
                    nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.min(outcomeRecord.ageMs(), Integer.MAX_VALUE));
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
        return Optional.ofNullable(recordsByIdempotencyKey.get(new ScopedKey(hash, key)));
    }

    /** Whether a request was executed but its record was evicted. */
    public boolean wasEvicted(RequestId id) {
        return evictedIds.containsKey(id);
    }

    /** Removes the records and evicted ids that have reached the maximum age. */
    public void expire(long nowNanos) {
        while (!recordsById.isEmpty()
                && nowNanos - recordsById.values().iterator().next().createdAtNanos() >= retentionNanos) {
            removeOldest();
        }
        Iterator<Long> evictionTimes = evictedIds.values().iterator();
        while (evictionTimes.hasNext() && nowNanos - evictionTimes.next() >= retentionNanos) {
            evictionTimes.remove();
        }
    }

    /**
     * Returns the records of a range for its next owner: the newest ones up to a total size. The horizon is advanced to
     * account for the records that are left out.
     *
     * @param horizon horizon of the records of the range in this table
     */
    public TransferredRecords exportRecords(
            KeyRange range, RecordHorizon horizon, long maxTransferBytes, long nowNanos) {
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
                exported.add(new OutcomeRecord(
                        stored.id(),
                        stored.idempotencyKey(),
                        stored.hash(),
                        stored.requestDigest(),
                        stored.answer(),
                        ageMs));
            } else if (stored.idempotencyKey().isPresent()) {
                exportedHorizon = exportedHorizon.later(RecordHorizon.startingAt(stored.createdAtNanos()));
            }
        }
        return new TransferredRecords(exportedHorizon.completeForMs(nowNanos), exported);
    }

    /** Number of records. */
    public int size() {
        return recordsById.size();
    }

    private StoredRecord removeOldest() {
        Iterator<StoredRecord> iterator = recordsById.values().iterator();
        StoredRecord removed = iterator.next();
        iterator.remove();
        totalBytes -= removed.sizeBytes();
        removed.idempotencyKey().ifPresent(key -> {
            recordsByIdempotencyKey.remove(new ScopedKey(removed.hash(), key), removed);
            removalListener.accept(removed.hash(), removed.createdAtNanos());
        });
        return removed;
    }
}
