package org.coriandercrank.peer.internal;

import java.io.IOException;
import java.util.OptionalLong;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.IdempotencyKey;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.Digest;
import org.coriandercrank.kernel.message.HeldRangesReport;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.request.OutcomeRecord;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.table.KeyRange;

/** Reads and writes values that occur in several messages. Stateless. */
final class ValueFields {
    private static final long ABSENT = -1;

    private ValueFields() {}

    static MemberId memberId(FieldReader in) throws IOException {
        return new MemberId(in.string());
    }

    static ServiceName serviceName(FieldReader in) throws IOException {
        return new ServiceName(in.string());
    }

    static RequestId requestId(FieldReader in) throws IOException {
        return new RequestId(in.string());
    }

    static Revision revision(FieldReader in) throws IOException {
        return new Revision(in.int64());
    }

    static Generation generation(FieldReader in) throws IOException {
        return new Generation(in.int64());
    }

    static KeyHash keyHash(FieldReader in) throws IOException {
        return new KeyHash(in.int64());
    }

    static void writeRange(FieldWriter out, KeyRange range) throws IOException {
        out.int64(range.first().value()).int64(range.last().value());
    }

    static KeyRange range(FieldReader in) throws IOException {
        return new KeyRange(keyHash(in), keyHash(in));
    }

    static void writeDigest(FieldWriter out, Digest digest) throws IOException {
        out.int64(digest.configuration().value())
                .int64(digest.members().value())
                .int64(digest.assignments().value());
    }

    static Digest digest(FieldReader in) throws IOException {
        return new Digest(revision(in), revision(in), revision(in));
    }

    static void writeHeader(FieldWriter out, Header header) throws IOException {
        out.string(header.name()).string(header.value());
    }

    static Header header(FieldReader in) throws IOException {
        return new Header(in.string(), in.string());
    }

    static void writeRequest(FieldWriter out, CallerRequest request) throws IOException {
        out.string(request.id())
                .string(request.service())
                .optional(request.key(), ValueFields::writeKey)
                .string(request.method())
                .string(request.path())
                .list(request.headers(), ValueFields::writeHeader)
                .bytes(request.body())
                .int64(request.remainingMs())
                .optional(request.idempotencyKey(), FieldWriter::string)
                .int64(request.idempotencyKeyAgeMs().orElse(ABSENT))
                .optional(request.rules(), ValueFields::writeRules);
    }

    private static void writeKey(FieldWriter out, Key key) throws IOException {
        out.string(key).int64(key.hash().value());
    }

    private static Key key(FieldReader in) throws IOException {
        return new Key(in.string(), keyHash(in));
    }

    private static void writeRules(FieldWriter out, RequestRules rules) throws IOException {
        out.bool(rules.repeatable())
                .int64(rules.maxServers())
                .int64(rules.priority())
                .int64(rules.latencyObjectiveMs());
    }

    private static RequestRules rules(FieldReader in) throws IOException {
        return new RequestRules(in.bool(), in.int32(), in.int32(), in.int64());
    }

    static CallerRequest request(FieldReader in) throws IOException {
        return new CallerRequest(
                requestId(in),
                serviceName(in),
                in.optional(ValueFields::key),
                in.string(),
                in.string(),
                in.list(ValueFields::header),
                in.bytes(),
                in.int64(),
                in.optional(f -> new IdempotencyKey(f.string())),
                optionalLong(in.int64()),
                in.optional(ValueFields::rules));
    }

    static void writeAnswer(FieldWriter out, CallerAnswer answer) throws IOException {
        out.int64(answer.code().number())
                .string(answer.outcome())
                .int64(answer.status())
                .list(answer.headers(), ValueFields::writeHeader)
                .bytes(answer.body())
                .int64(answer.retryAfterMs().orElse(ABSENT));
    }

    static CallerAnswer answer(FieldReader in) throws IOException {
        return new CallerAnswer(
                resultCode(in),
                Outcome.valueOf(in.string()),
                in.int32(),
                in.list(ValueFields::header),
                in.bytes(),
                optionalLong(in.int64()));
    }

    static ResultCode resultCode(FieldReader in) throws IOException {
        int number = in.int32();
        return ResultCode.ofNumber(number).orElseThrow(() -> new IOException("unknown result code " + number));
    }

    static void writeRecord(FieldWriter out, OutcomeRecord outcome) throws IOException {
        out.string(outcome.requestId())
                .optional(outcome.idempotencyKey(), FieldWriter::string)
                .int64(outcome.keyHash().value())
                .int64(outcome.requestDigest());
        writeAnswer(out, outcome.answer());
        out.int64(outcome.ageMs());
    }

    static OutcomeRecord outcomeRecord(FieldReader in) throws IOException {
        return new OutcomeRecord(
                requestId(in),
                in.optional(f -> new IdempotencyKey(f.string())),
                keyHash(in),
                in.int64(),
                answer(in),
                in.int64());
    }

    static void writeLoad(FieldWriter out, GateLoad load) throws IOException {
        out.int64(load.pending()).int64(load.concurrency()).float64(load.serviceMs());
    }

    static GateLoad load(FieldReader in) throws IOException {
        return new GateLoad(in.int32(), in.int32(), in.float64());
    }

    static void writeHandover(FieldWriter out, Handover handover) throws IOException {
        writeRange(out, handover.range());
        out.string(handover.token());
    }

    static Handover handover(FieldReader in) throws IOException {
        return new Handover(range(in), in.string());
    }

    static void writeObject(FieldWriter out, StoredObject object) throws IOException {
        out.string(object.name())
                .int64(object.revision().value())
                .bytes(object.value())
                .bool(object.deleted());
    }

    static StoredObject object(FieldReader in) throws IOException {
        return new StoredObject(in.string(), revision(in), in.bytes(), in.bool());
    }

    static void writeRangeLoad(FieldWriter out, RangeLoad load) throws IOException {
        writeRange(out, load.range());
        out.int64(load.fence().value())
                .bool(load.serving())
                .float64(load.requestsPerSecond())
                .list(load.hotHashes(), (o, hot) -> o.int64(hot.hash().value()).float64(hot.requestsPerSecond()));
    }

    static RangeLoad rangeLoad(FieldReader in) throws IOException {
        return new RangeLoad(
                range(in),
                generation(in),
                in.bool(),
                in.float64(),
                in.list(f -> new RangeLoad.HotHash(keyHash(f), f.float64())));
    }

    static void writeHeldRange(FieldWriter out, HeldRangesReport.Held held) throws IOException {
        writeRange(out, held.range());
        out.int64(held.fence().value());
    }

    static HeldRangesReport.Held heldRange(FieldReader in) throws IOException {
        return new HeldRangesReport.Held(range(in), generation(in));
    }

    private static OptionalLong optionalLong(long value) {
        return value == ABSENT ? OptionalLong.empty() : OptionalLong.of(value);
    }
}
