package org.coriandercrank.peer.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.id.BootId;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.IdempotencyKey;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
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
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.request.OutcomeRecord;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.table.KeyRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against message fields that are lost or swapped in encoding, and against frames that make the decoder fail
 * unexpectedly.
 */
class MessageCodecTest {
    private static final MemberId MEMBER = new MemberId("host-1.a");
    private static final ServiceName SERVICE = new ServiceName("counter-desk");
    private static final byte[] NO_BYTES = new byte[0];
    private static final CallerAnswer ANSWER =
            CallerAnswer.executed(201, List.of(new Header("content-type", "text/plain")), NO_BYTES);
    private static final CallerRequest REQUEST = new CallerRequest(
            new RequestId("r-1"),
            SERVICE,
            Optional.of(new Key("ticket 7")),
            "POST",
            "/pay?x=1",
            List.of(new Header("accept", "*/*")),
            NO_BYTES,
            1_500,
            Optional.of(new IdempotencyKey("k-1")),
            OptionalLong.of(12),
            Optional.of(new RequestRules(true, 2, 1, 600)));
    private static final OutcomeRecord RECORD = new OutcomeRecord(
            new RequestId("r-1"), Optional.empty(), new KeyHash(-5), 77, CallerAnswer.of(ResultCode.OK, ""), 9);

    private static final Digest EVACUATIONS_DIGEST =
            new Digest(new Revision(1), new Revision(2), new Revision(3), new Revision(1_000_000));

    static Stream<Message> messages() {
        return Stream.of(
                new Hello(MEMBER, 1),
                new Ping(),
                new Pong(),
                new CallFailure(ResultCode.OVERLOADED, "full"),
                new Heartbeat(
                        MEMBER,
                        new Revision(3),
                        4,
                        new Digest(new Revision(1), new Revision(2), new Revision(3)),
                        new BootId(0x12345678)),
                new Heartbeat(MEMBER, new Revision(3), 4, EVACUATIONS_DIGEST, new BootId(0x12345678)),
                new Heartbeat(MEMBER, new Revision(3), 4, EVACUATIONS_DIGEST, BootId.NONE),
                new HeartbeatAck(MEMBER, 4, true, EVACUATIONS_DIGEST, Optional.empty()),
                new HeartbeatAck(
                        MEMBER,
                        4,
                        false,
                        EVACUATIONS_DIGEST,
                        Optional.of(new WitnessBoot(new BootId(0x12345678), 1_000_000))),
                new HeartbeatAck(MEMBER, 4, true, Digest.NONE, Optional.empty()),
                new HeartbeatAck(
                        MEMBER, 4, false, Digest.NONE, Optional.of(new WitnessBoot(new BootId(0x12345678), 1_000_000))),
                new RefusalRequest(MEMBER, new Revision(8), 2_101),
                new RefusalAnswer(MEMBER, false, 120),
                new RefusalNotice(MEMBER, new Revision(8)),
                new ForwardRequest(REQUEST, new Generation(5)),
                new ForwardRequest(
                        REQUEST.withFingerprint(Optional.of(new RequestFingerprint(0x9e3779b97f4a7c15L))),
                        new Generation(5)),
                new ForwardRequest(
                        REQUEST.withAllowedRegions(Set.of(new Region("east"), new Region("west"))), new Generation(5)),
                new ForwardRequest(
                        REQUEST.withAllowedRegions(Set.of(new Region("east")))
                                .withFingerprint(Optional.of(new RequestFingerprint(7))),
                        new Generation(5)),
                new ForwardAnswer(ANSWER, new Generation(6), new GateLoad(5, 18, 210.5)),
                new CancelRequest(new RequestId("r-1")),
                new OutcomeQuery(new RequestId("r-1"), SERVICE, Optional.of(KeyHash.MAX), OptionalLong.of(1_000_000)),
                new OutcomeQuery(new RequestId("r-1"), SERVICE, Optional.of(KeyHash.MAX), OptionalLong.empty()),
                OutcomeAnswer.finished(ANSWER),
                OutcomeAnswer.of(OutcomeAnswer.State.BARRED),
                new ReleaseRequest(MEMBER, SERVICE, new KeyRange(new KeyHash(5), KeyHash.MAX), new Generation(2)),
                new ReleaseAnswer(true, Long.MAX_VALUE, List.of(RECORD)),
                new FetchObject(FetchObject.Kind.ASSIGNMENTS, new Revision(9)),
                new ObjectData(
                        FetchObject.Kind.MEMBERS,
                        new Revision(9),
                        true,
                        List.of(new StoredObject("members/a", new Revision(9), NO_BYTES, true))),
                new HeldRangesQuery(MEMBER, new Era(3)),
                new HeldRangesReport(
                        MEMBER,
                        SERVICE,
                        new Era(3),
                        true,
                        List.of(new HeldRangesReport.Held(KeyRange.ALL, Generation.NONE.next(new Era(3))))),
                new LoadQuery(MEMBER),
                new LoadReport(
                        MEMBER,
                        SERVICE,
                        new Generation(3),
                        List.of(new RangeLoad(
                                KeyRange.ALL,
                                new Generation(2),
                                true,
                                12.5,
                                List.of(new RangeLoad.HotHash(new KeyHash(1), 3.5))))));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void decodesWhatWasEncoded(Message message) {
        byte[] bytes = MessageCodec.encode(new Frame(42, message));

        assertThat(MessageCodec.decode(bytes)).usingRecursiveComparison().isEqualTo(new Frame(42, message));
    }

    @Test
    void samplesCoverEveryMessageType() {
        assertThat(messages().map(Message::getClass).distinct()).hasSize(Message.class.getPermittedSubclasses().length);
    }

    @ParameterizedTest
    @MethodSource("messages")
    void rejectsTruncatedFrames(Message message) {
        byte[] bytes = MessageCodec.encode(new Frame(42, message));
        byte[] truncated = java.util.Arrays.copyOf(bytes, bytes.length - 1);

        assertThatThrownBy(() -> MessageCodec.decode(truncated))
                .isInstanceOfSatisfying(
                        CrankException.class, e -> assertThat(e.code()).isEqualTo(ResultCode.FRAME_MALFORMED));
    }

    @Property
    void failsOnlyWithFrameMalformed(@ForAll byte[] bytes) {
        try {
            MessageCodec.decode(bytes);
        } catch (CrankException e) {
            assertThat(e.code()).isEqualTo(ResultCode.FRAME_MALFORMED);
        }
    }
}
