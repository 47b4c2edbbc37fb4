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
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.request.OutcomeRecord;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.table.KeyRange;

/** Fields of value types that several messages share. Stateless. */
final class ValueFields {
    private static final long ABSENT = -1;

    private ValueFields() {}

    static MemberId memberId(FieldReader in) throws IOException {
        return new MemberId(in.text());
    }

    static ServiceName serviceName(FieldReader in) throws IOException {
        return new ServiceName(in.text());
    }

    static RequestId requestId(FieldReader in) throws IOException {
        return new RequestId(in.text());
    }

    static Revision revision(FieldReader in) throws IOException {
        return new Revision(in.integer());
    }

    static Generation generation(FieldReader in) throws IOException {
        return new Generation(in.integer());
    }

    static KeyHash keyHash(FieldReader in) throws IOException {
        return new KeyHash(in.integer());
    }

    static void writeRange(FieldWriter out, KeyRange range) throws IOException {
        out.integer(range.first().value()).integer(range.last().value());
    }

    static KeyRange range(FieldReader in) throws IOException {
        return new KeyRange(keyHash(in), keyHash(in));
    }

    static void writeDigest(FieldWriter out, Digest digest) throws IOException {
        out.integer(digest.configuration().value())
                .integer(digest.members().value())
                .integer(digest.assignments().value());
    }

    static Digest digest(FieldReader in) throws IOException {
        return new Digest(revision(in), revision(in), revision(in));
    }

    static void writeHeader(FieldWriter out, Header header) throws IOException {
        out.text(header.name()).text(header.value());
    }

    static Header header(FieldReader in) throws IOException {
        return new Header(in.text(), in.text());
    }

    static void writeRequest(FieldWriter out, CallerRequest request) throws IOException {
        out.text(request.id())
                .text(request.service())
                .optional(request.key(), ValueFields::writeKey)
                .text(request.method())
                .text(request.path())
                .list(request.headers(), ValueFields::writeHeader)
                .bytes(request.body())
                .integer(request.remainingMs())
                .optional(request.idempotencyKey(), FieldWriter::text)
                .integer(request.idempotencyKeyAgeMs().orElse(ABSENT))
                .optional(request.rules(), ValueFields::writeRules);
    }

    private static void writeKey(FieldWriter out, Key key) throws IOException {
        out.text(key).integer(key.hash().value());
    }

    private static Key key(FieldReader in) throws IOException {
        return new Key(in.text(), keyHash(in));
    }

    private static void writeRules(FieldWriter out, RequestRules rules) throws IOException {
        out.flag(rules.repeatable())
                .integer(rules.maxServers())
                .integer(rules.priority())
                .integer(rules.latencyObjectiveMs());
    }

    private static RequestRules rules(FieldReader in) throws IOException {
        return new RequestRules(in.flag(), in.integer32(), in.integer32(), in.integer());
    }

    static CallerRequest request(FieldReader in) throws IOException {
        return new CallerRequest(
                requestId(in),
                serviceName(in),
                in.optional(ValueFields::key),
                in.text(),
                in.text(),
                in.list(ValueFields::header),
                in.bytes(),
                in.integer(),
                in.optional(f -> new IdempotencyKey(f.text())),
                optionalLong(in.integer()),
                in.optional(ValueFields::rules));
    }

    static void writeAnswer(FieldWriter out, CallerAnswer answer) throws IOException {
        out.integer(answer.code().number())
                .text(answer.outcome())
                .integer(answer.status())
                .list(answer.headers(), ValueFields::writeHeader)
                .bytes(answer.body())
                .integer(answer.retryAfterMs().orElse(ABSENT));
    }

    static CallerAnswer answer(FieldReader in) throws IOException {
        return new CallerAnswer(
                resultCode(in),
                Outcome.valueOf(in.text()),
                in.integer32(),
                in.list(ValueFields::header),
                in.bytes(),
                optionalLong(in.integer()));
    }

    static ResultCode resultCode(FieldReader in) throws IOException {
        int number = in.integer32();
        return ResultCode.ofNumber(number).orElseThrow(() -> new IOException("unknown result code " + number));
    }

    static void writeRecord(FieldWriter out, OutcomeRecord outcome) throws IOException {
        out.text(outcome.requestId())
                .optional(outcome.idempotencyKey(), FieldWriter::text)
                .integer(outcome.keyHash().value())
                .integer(outcome.requestDigest());
        writeAnswer(out, outcome.answer());
        out.integer(outcome.ageMs());
    }

    static OutcomeRecord outcomeRecord(FieldReader in) throws IOException {
        return new OutcomeRecord(
                requestId(in),
                in.optional(f -> new IdempotencyKey(f.text())),
                keyHash(in),
                in.integer(),
                answer(in),
                in.integer());
    }

    static void writeLoad(FieldWriter out, GateLoad load) throws IOException {
        out.integer(load.pending()).integer(load.concurrency()).real(load.serviceMs());
    }

    static GateLoad load(FieldReader in) throws IOException {
        return new GateLoad(in.integer32(), in.integer32(), in.real());
    }

    static void writeHandover(FieldWriter out, Handover handover) throws IOException {
        writeRange(out, handover.range());
        out.text(handover.token());
    }

    static Handover handover(FieldReader in) throws IOException {
        return new Handover(range(in), in.text());
    }

    static void writeObject(FieldWriter out, StoredObject object) throws IOException {
        out.text(object.name())
                .integer(object.revision().value())
                .bytes(object.value())
                .flag(object.deleted());
    }

    static StoredObject object(FieldReader in) throws IOException {
        return new StoredObject(in.text(), revision(in), in.bytes(), in.flag());
    }

    static void writeRangeLoad(FieldWriter out, RangeLoad load) throws IOException {
        writeRange(out, load.range());
        out.integer(load.fence().value())
                .flag(load.serving())
                .real(load.requestsPerSecond())
                .list(
                        load.hotHashes(),
                        (o, hot) -> o.integer(hot.hash().value()).real(hot.requestsPerSecond()));
    }

    static RangeLoad rangeLoad(FieldReader in) throws IOException {
        return new RangeLoad(
                range(in),
                generation(in),
                in.flag(),
                in.real(),
                in.list(f -> new RangeLoad.HotHash(keyHash(f), f.real())));
    }

    private static OptionalLong optionalLong(long value) {
        return value == ABSENT ? OptionalLong.empty() : OptionalLong.of(value);
    }
}
