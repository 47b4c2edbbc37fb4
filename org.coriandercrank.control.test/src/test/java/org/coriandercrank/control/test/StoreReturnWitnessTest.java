package org.coriandercrank.control.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.control.internal.WitnessService;
import org.coriandercrank.kernel.id.BootId;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.Digest;
import org.coriandercrank.kernel.message.Heartbeat;
import org.coriandercrank.kernel.message.HeartbeatAck;
import org.junit.jupiter.api.Test;

/** Guards against votes for a member whose record, and with it perhaps its seal, the store has lost. */
class StoreReturnWitnessTest {
    private static final MemberId SELF = new MemberId("self");
    private static final MemberId HOLDER = new MemberId("holder");
    private static final Era FIRST = new Era(1);
    private static final Era SECOND = new Era(2);
    private static final Revision NAMED = Revision.of(FIRST, 10);

    private final EraContext daemon = new EraContext(ControlOptions.DEFAULTS, SELF, FIRST);
    private final List<MemberId> acknowledged = new ArrayList<>();
    private final WitnessService witness =
            new WitnessService(daemon.context(), daemon.view(), daemon.newMetrics(), acknowledged::add);
    private final BootId boot =
            answer(NAMED, BootId.NONE).otherBoot().orElseThrow().boot();

    /** The view keeps the lost member, with the record of the earlier era. */
    @Test
    void heartbeatThatNamesALostRecordIsRefused() {
        daemon.applyMembers(NAMED, EraContext.record(HOLDER, NAMED));
        assertThat(answer(NAMED, boot).granted()).isTrue();

        acknowledged.clear();
        daemon.applyMembers(Revision.of(SECOND, 9));
        assertThat(daemon.view().member(HOLDER)).isPresent();
        assertThat(answer(NAMED, boot).granted()).isFalse();
        assertThat(acknowledged).isEmpty();

        assertThat(answer(Revision.of(SECOND, 11), boot).granted()).isTrue();
    }

    @Test
    void heartbeatThatNamesARecordWhichSurvivedIsAcknowledged() {
        daemon.applyMembers(NAMED, EraContext.record(HOLDER, NAMED));
        Revision survived = Revision.of(SECOND, NAMED.number());
        daemon.applyMembers(survived, EraContext.record(HOLDER, survived));
        assertThat(answer(NAMED, boot).granted()).isTrue();
        assertThat(acknowledged).containsExactly(HOLDER);
    }

    private HeartbeatAck answer(Revision named, BootId namedBoot) {
        return witness.handleHeartbeat(SELF, new Heartbeat(HOLDER, named, 1, Digest.NONE, namedBoot));
    }
}
