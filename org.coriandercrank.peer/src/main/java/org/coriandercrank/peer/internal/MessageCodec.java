package org.coriandercrank.peer.internal;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.BootId;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.CallFailure;
import org.coriandercrank.kernel.message.CancelRequest;
import org.coriandercrank.kernel.message.Digest;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.ForwardAnswer;
import org.coriandercrank.kernel.message.ForwardRequest;
import org.coriandercrank.kernel.message.Heartbeat;
import org.coriandercrank.kernel.message.HeartbeatAck;
import org.coriandercrank.kernel.message.HeldRangesQuery;
import org.coriandercrank.kernel.message.HeldRangesReport;
import org.coriandercrank.kernel.message.Hello;
import org.coriandercrank.kernel.message.LoadQuery;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.message.OutcomeQuery;
import org.coriandercrank.kernel.message.Ping;
import org.coriandercrank.kernel.message.Pong;
import org.coriandercrank.kernel.message.RefusalAnswer;
import org.coriandercrank.kernel.message.RefusalNotice;
import org.coriandercrank.kernel.message.RefusalRequest;
import org.coriandercrank.kernel.message.ReleaseAnswer;
import org.coriandercrank.kernel.message.ReleaseRequest;
import org.coriandercrank.kernel.message.WitnessBoot;
import org.coriandercrank.kernel.request.CallerRequest;
import org.msgpack.core.MessagePackException;

/**
 * Encodes messages as MessagePack: type number, correlation id, then the fields in the order of the record components.
 * Stateless and thread safe. A type number is never reused for another message.
 */
public final class MessageCodec {
    /** Encodes and decodes one type of message. */
    private record TypeCodec<M extends Message>(
            int number, Class<M> type, FieldWriter.ElementWriter<M> writer, FieldReader.ElementReader<M> reader) {
        void write(FieldWriter out, Message message) throws IOException {
            writer.write(out, type.cast(message));
        }
    }

    /** Stands for no boot if another field follows it. */
    private static final WitnessBoot NO_BOOT = new WitnessBoot(BootId.NONE, 0);

    private static final Map<Class<?>, TypeCodec<?>> BY_TYPE = new HashMap<>();
    private static final Map<Integer, TypeCodec<?>> BY_NUMBER = new HashMap<>();

    static {
        registerLinkMessages();
        registerLeaseMessages();
        registerRequestMessages();
        registerControlMessages();
        registerRecoveryMessages();
    }

    private MessageCodec() {}

    public static byte[] encode(Frame frame) {
        FieldWriter out = new FieldWriter();
        TypeCodec<?> entry = BY_TYPE.get(frame.message().getClass());
        try {
            out.int64(entry.number).int64(frame.correlationId());
            entry.write(out, frame.message());
        } catch (IOException e) {
            throw new CrankException(ResultCode.INTERNAL, "cannot encode a message", e);
        }
        return out.toByteArray();
    }

    /** @throws CrankException with {@link ResultCode#FRAME_MALFORMED} if the bytes are not a frame */
    public static Frame decode(byte[] bytes) {
        FieldReader in = new FieldReader(bytes);
        try {
            int number = in.int32();
            long correlationId = in.int64();
            TypeCodec<?> entry = BY_NUMBER.get(number);
            if (entry == null) {
                throw new IOException("unknown message type " + number);
            }
            return new Frame(correlationId, entry.reader.read(in));
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new CrankException(ResultCode.FRAME_MALFORMED, "cannot decode a frame: " + e.getMessage(), e);
        }
    }

    private static <M extends Message> void register(
            int number, Class<M> type, FieldWriter.ElementWriter<M> writer, FieldReader.ElementReader<M> reader) {
        TypeCodec<M> entry = new TypeCodec<>(number, type, writer, reader);
        BY_TYPE.put(type, entry);
        BY_NUMBER.put(number, entry);
    }

    private static void writeWitnessBoot(FieldWriter out, WitnessBoot boot) throws IOException {
        out.int64(boot.boot().value()).int64(boot.uptimeMs());
    }

    private static WitnessBoot witnessBoot(FieldReader in) throws IOException {
        return new WitnessBoot(new BootId(in.int32()), in.int64());
    }

    /** Whether a digest has the position that is written after the fields which earlier versions know. */
    private static boolean hasEvacuations(Digest digest) {
        return !digest.evacuations().equals(Revision.NONE);
    }

    private static Digest withEvacuations(Digest digest, FieldReader in) throws IOException {
        return in.hasMore() ? digest.withEvacuations(ValueFields.revision(in)) : digest;
    }

    private static Heartbeat heartbeat(FieldReader in) throws IOException {
        MemberId member = ValueFields.memberId(in);
        Revision recordRevision = ValueFields.revision(in);
        long sequence = in.int64();
        Digest digest = ValueFields.digest(in);
        BootId witnessBoot = in.hasMore() ? new BootId(in.int32()) : BootId.NONE;
        return new Heartbeat(member, recordRevision, sequence, withEvacuations(digest, in), witnessBoot);
    }

    private static HeartbeatAck heartbeatAck(FieldReader in) throws IOException {
        MemberId witness = ValueFields.memberId(in);
        long sequence = in.int64();
        boolean granted = in.bool();
        Digest digest = ValueFields.digest(in);
        Optional<WitnessBoot> otherBoot =
                in.hasMore() ? Optional.of(witnessBoot(in)).filter(boot -> !boot.equals(NO_BOOT)) : Optional.empty();
        return new HeartbeatAck(witness, sequence, granted, withEvacuations(digest, in), otherBoot);
    }

    private static void registerLinkMessages() {
        register(
                1,
                Hello.class,
                (out, m) -> out.string(m.sender()).int64(m.protocolVersion()),
                in -> new Hello(ValueFields.memberId(in), in.int32()));
        register(2, Ping.class, (out, m) -> {}, in -> new Ping());
        register(3, Pong.class, (out, m) -> {}, in -> new Pong());
        register(
                4,
                CallFailure.class,
                (out, m) -> out.int64(m.code().number()).string(m.detail()),
                in -> new CallFailure(ValueFields.resultCode(in), in.string()));
    }

    private static void registerLeaseMessages() {
        register(
                10,
                Heartbeat.class,
                (out, m) -> {
                    out.string(m.member()).int64(m.recordRevision().value()).int64(m.sequence());
                    ValueFields.writeDigest(out, m.digest());
                    boolean evacuations = hasEvacuations(m.digest());
                    if (evacuations || !m.witnessBoot().equals(BootId.NONE)) {
                        out.int64(m.witnessBoot().value());
                    }
                    if (evacuations) {
                        out.int64(m.digest().evacuations().value());
                    }
                },
                MessageCodec::heartbeat);
        register(
                11,
                HeartbeatAck.class,
                (out, m) -> {
                    out.string(m.witness()).int64(m.sequence()).bool(m.granted());
                    ValueFields.writeDigest(out, m.digest());
                    boolean evacuations = hasEvacuations(m.digest());
                    if (evacuations || m.otherBoot().isPresent()) {
                        writeWitnessBoot(out, m.otherBoot().orElse(NO_BOOT));
                    }
                    if (evacuations) {
                        out.int64(m.digest().evacuations().value());
                    }
                },
                MessageCodec::heartbeatAck);
        register(
                12,
                RefusalRequest.class,
                (out, m) ->
                        out.string(m.member()).int64(m.recordRevision().value()).int64(m.knownForMs()),
                in -> new RefusalRequest(
                        ValueFields.memberId(in), ValueFields.revision(in), in.hasMore() ? in.int64() : 0));
        register(
                13,
                RefusalAnswer.class,
                (out, m) -> out.string(m.witness()).bool(m.granted()).int64(m.retryAfterMs()),
                in -> new RefusalAnswer(ValueFields.memberId(in), in.bool(), in.int64()));
        register(
                14,
                RefusalNotice.class,
                (out, m) -> out.string(m.member()).int64(m.recordRevision().value()),
                in -> new RefusalNotice(ValueFields.memberId(in), ValueFields.revision(in)));
    }

    private static void registerRequestMessages() {
        register(
                20,
                ForwardRequest.class,
                (out, m) -> {
                    ValueFields.writeRequest(out, m.request());
                    out.int64(m.tableGeneration().value());
                    writeLaterRequestFields(out, m.request());
                },
                MessageCodec::forwardRequest);
        register(
                21,
                ForwardAnswer.class,
                (out, m) -> {
                    ValueFields.writeAnswer(out, m.answer());
                    out.int64(m.tableGeneration().value());
                    ValueFields.writeLoad(out, m.load());
                },
                in -> new ForwardAnswer(ValueFields.answer(in), ValueFields.generation(in), ValueFields.load(in)));
        register(
                22,
                CancelRequest.class,
                (out, m) -> out.string(m.requestId()),
                in -> new CancelRequest(ValueFields.requestId(in)));
        register(
                23,
                OutcomeQuery.class,
                (out, m) -> {
                    out.string(m.requestId())
                            .string(m.service())
                            .optional(m.keyHash(), (o, hash) -> o.int64(hash.value()));
                    if (m.sentAgoMs().isPresent()) {
                        out.int64(m.sentAgoMs().getAsLong());
                    }
                },
                in -> new OutcomeQuery(
                        ValueFields.requestId(in),
                        ValueFields.serviceName(in),
                        in.optional(ValueFields::keyHash),
                        in.hasMore() ? OptionalLong.of(in.int64()) : OptionalLong.empty()));
        register(
                24,
                OutcomeAnswer.class,
                (out, m) -> out.string(m.state()).optional(m.answer(), ValueFields::writeAnswer),
                in -> new OutcomeAnswer(OutcomeAnswer.State.valueOf(in.string()), in.optional(ValueFields::answer)));
    }

    /**
     * Writes the fields of a request that daemons of earlier versions do not know: the fingerprint, then the allowed
     * regions. Both come after all other fields and are left out if the request has none.
     */
    private static void writeLaterRequestFields(FieldWriter out, CallerRequest request) throws IOException {
        List<Region> allowedRegions = request.rules()
                .map(rules -> rules.allowedRegions().stream().sorted().toList())
                .orElse(List.of());
        if (request.fingerprint().isPresent() || !allowedRegions.isEmpty()) {
            out.optional(request.fingerprint(), (o, fingerprint) -> o.int64(fingerprint.value()));
        }
        if (!allowedRegions.isEmpty()) {
            out.list(allowedRegions, FieldWriter::string);
        }
    }

    private static ForwardRequest forwardRequest(FieldReader in) throws IOException {
        CallerRequest request = ValueFields.request(in);
        Generation generation = ValueFields.generation(in);
        Optional<RequestFingerprint> fingerprint =
                in.hasMore() ? in.optional(f -> new RequestFingerprint(f.int64())) : Optional.empty();
        Set<Region> allowedRegions = in.hasMore() ? Set.copyOf(in.list(f -> new Region(f.string()))) : Set.of();
        return new ForwardRequest(request.withFingerprint(fingerprint).withAllowedRegions(allowedRegions), generation);
    }

    private static void registerRecoveryMessages() {
        register(
                36,
                HeldRangesQuery.class,
                (out, m) -> out.string(m.planner()).int64(m.era().value()),
                in -> new HeldRangesQuery(ValueFields.memberId(in), new Era(in.int64())));
        register(
                37,
                HeldRangesReport.class,
                (out, m) -> out.string(m.member())
                        .string(m.service())
                        .int64(m.era().value())
                        .bool(m.complete())
                        .list(m.ranges(), ValueFields::writeHeldRange),
                in -> new HeldRangesReport(
                        ValueFields.memberId(in),
                        ValueFields.serviceName(in),
                        new Era(in.int64()),
                        in.bool(),
                        in.list(ValueFields::heldRange)));
    }

    private static void registerControlMessages() {
        register(
                30,
                ReleaseRequest.class,
                (out, m) -> {
                    out.string(m.requester()).string(m.service());
                    ValueFields.writeRange(out, m.range());
                    out.int64(m.generation().value());
                },
                in -> new ReleaseRequest(
                        ValueFields.memberId(in),
                        ValueFields.serviceName(in),
                        ValueFields.range(in),
                        ValueFields.generation(in)));
        register(
                31,
                ReleaseAnswer.class,
                (out, m) -> out.bool(m.released())
                        .int64(m.recordsCompleteForMs())
                        .list(m.records(), ValueFields::writeRecord)
                        .list(m.handovers(), ValueFields::writeHandover),
                in -> new ReleaseAnswer(
                        in.bool(), in.int64(), in.list(ValueFields::outcomeRecord), in.list(ValueFields::handover)));
        register(
                32,
                FetchObject.class,
                (out, m) -> out.string(m.kind()).int64(m.newerThan().value()),
                in -> new FetchObject(FetchObject.Kind.valueOf(in.string()), ValueFields.revision(in)));
        register(
                33,
                ObjectData.class,
                (out, m) -> out.string(m.kind())
                        .int64(m.upTo().value())
                        .bool(m.reset())
                        .list(m.objects(), ValueFields::writeObject),
                in -> new ObjectData(
                        FetchObject.Kind.valueOf(in.string()),
                        ValueFields.revision(in),
                        in.bool(),
                        in.list(ValueFields::object)));
        register(
                34,
                LoadQuery.class,
                (out, m) -> out.string(m.planner()),
                in -> new LoadQuery(ValueFields.memberId(in)));
        register(
                35,
                LoadReport.class,
                (out, m) -> out.string(m.member())
                        .string(m.service())
                        .int64(m.tableGeneration().value())
                        .list(m.ranges(), ValueFields::writeRangeLoad),
                in -> new LoadReport(
                        ValueFields.memberId(in),
                        ValueFields.serviceName(in),
                        ValueFields.generation(in),
                        in.list(ValueFields::rangeLoad)));
    }
}
