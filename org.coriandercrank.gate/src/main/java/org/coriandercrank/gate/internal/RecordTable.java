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
    private static final int ANSWERLESS_IDS_PER_RECORD = 4;

    /** A kept answer. Immutable. */
    public record Kept(
            RequestId id,
            Optional<IdempotencyKey> key,
            KeyHash hash,
            long digest,
            CallerAnswer answer,
            long madeAtNanos) {
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
            return digest == otherDigest && hash.equals(otherHash);
        }
    }

    private record KeyOfHash(KeyHash hash, IdempotencyKey key) {}

    private final long retentionNanos;
    private final int maxRecords;
    private final long maxBytes;
    private final BiConsumer<KeyHash, Long> keyedRecordDropped;
    private final LinkedHashMap<RequestId, Kept> byId = new LinkedHashMap<>();
    private final Map<KeyOfHash, Kept> byKey = new HashMap<>();
    private final LinkedHashMap<RequestId, Long> answerlessIds = new LinkedHashMap<>();
    private long bytes;

    /** The listener gets the hash and the time of each dropped record that has an idempotency key. */
    public RecordTable(GateOptions options, BiConsumer<KeyHash, Long> keyedRecordDropped) {
        retentionNanos = TimeUnit.MILLISECONDS.toNanos(options.recordRetentionMs());
        maxRecords = options.maxRecords();
        maxBytes = options.maxRecordBytes();
        this.keyedRecordDropped = keyedRecordDropped;
    }

    public void put(Kept kept, long nowNanos) {
        Kept previous = byId.remove(kept.id());
        if (previous != null) {
            bytes -= previous.sizeBytes();
        }
        byId.put(kept.id(), kept);
        bytes += kept.sizeBytes();
        kept.key().ifPresent(key -> byKey.put(new KeyOfHash(kept.hash(), key), kept));
        while (byId.size() > maxRecords || bytes > maxBytes) {
            Kept dropped = dropOldest();
            answerlessIds.put(dropped.id(), nowNanos);
        }
        if (answerlessIds.size() > (long) maxRecords * ANSWERLESS_IDS_PER_RECORD) {
            Iterator<RequestId> oldest = answerlessIds.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Takes over the records of a range; a record that is present already stays. */
    public void putAll(TransferredRecords inherited, long nowNanos) {
        for (OutcomeRecord r : inherited.records()) {
            long madeAtNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.min(r.ageMs(), Integer.MAX_VALUE));
            if (!byId.containsKey(r.requestId())) {
                put(
                        new Kept(
                                r.requestId(),
                                r.idempotencyKey(),
                                r.keyHash(),
                                r.requestDigest(),
                                r.answer(),
                                madeAtNanos),
                        nowNanos);
            }
        }
    }

    public Optional<Kept> find(RequestId id) {
        return Optional.ofNullable(byId.get(id));
    }

    public Optional<Kept> find(KeyHash hash, IdempotencyKey key) {
        return Optional.ofNullable(byKey.get(new KeyOfHash(hash, key)));
    }

    /** Whether an id was executed but its answer had to be dropped early. */
    public boolean lostAnswerOf(RequestId id) {
        return answerlessIds.containsKey(id);
    }

    /** Drops what has reached the age limit. */
    public void expire(long nowNanos) {
        while (!byId.isEmpty() && nowNanos - byId.values().iterator().next().madeAtNanos() >= retentionNanos) {
            dropOldest();
        }
        Iterator<Long> times = answerlessIds.values().iterator();
        while (times.hasNext() && nowNanos - times.next() >= retentionNanos) {
            times.remove();
        }
    }

    /** Records of a range for its next owner, the newest up to a number of bytes, with a horizon that fits them. */
    public TransferredRecords export(KeyRange range, Horizon horizon, long maxTransferBytes, long nowNanos) {
        Deque<Kept> inRange = new ArrayDeque<>();
        for (Kept kept : byId.values()) {
            if (range.contains(kept.hash())) {
                inRange.addFirst(kept);
            }
        }
        List<OutcomeRecord> exported = new ArrayList<>();
        Horizon exportedHorizon = horizon;
        long exportedBytes = 0;
        for (Kept kept : inRange) {
            exportedBytes += kept.sizeBytes();
            if (exportedBytes <= maxTransferBytes) {
                long ageMs = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - kept.madeAtNanos()));
                exported.add(
                        new OutcomeRecord(kept.id(), kept.key(), kept.hash(), kept.digest(), kept.answer(), ageMs));
            } else if (kept.key().isPresent()) {
                exportedHorizon = exportedHorizon.later(Horizon.since(kept.madeAtNanos()));
            }
        }
        return new TransferredRecords(exportedHorizon.completeForMs(nowNanos), exported);
    }

    public int size() {
        return byId.size();
    }

    private Kept dropOldest() {
        Iterator<Kept> oldest = byId.values().iterator();
        Kept dropped = oldest.next();
        oldest.remove();
        bytes -= dropped.sizeBytes();
        dropped.key().ifPresent(key -> {
            byKey.remove(new KeyOfHash(dropped.hash(), key), dropped);
            keyedRecordDropped.accept(dropped.hash(), dropped.madeAtNanos());
        });
        return dropped;
    }
}
