package org.coriandercrank.lease.test;

import static org.assertj.core.api.Assertions.assertThat;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.lease.LeaseTiming;
import org.coriandercrank.lease.Witness;
import org.junit.jupiter.api.Test;

/** Guards against a witness that loses a promise when its bounded memory is full. */
class WitnessTest {
    private static final long MS = 1_000_000;
    private static final LeaseTiming TIMING = LeaseTiming.ofMs(2_000, 500, 105);
    private static final MemberId FIRST = new MemberId("first");
    private static final MemberId SECOND = new MemberId("second");

    private final Witness witness = new Witness(TIMING, 1);

    @Test
    void forgottenAcknowledgementStillDelaysRefusal() {
        witness.acceptHeartbeat(FIRST, new Revision(5), 0);
        witness.acceptHeartbeat(SECOND, new Revision(6), MS);
        assertThat(witness.requestRefusal(FIRST, new Revision(5), 2_000 * MS).granted())
                .isFalse();
        assertThat(witness.requestRefusal(FIRST, new Revision(5), 2_102 * MS).granted())
                .isTrue();
    }

    @Test
    void forgottenRefusalStillRejectsHeartbeats() {
        assertThat(witness.requestRefusal(FIRST, new Revision(5), 0).granted()).isTrue();
        witness.acceptHeartbeat(SECOND, new Revision(6), MS);
        assertThat(witness.acceptHeartbeat(FIRST, new Revision(5), 2 * MS)).isFalse();
        assertThat(witness.acceptHeartbeat(FIRST, new Revision(7), 3 * MS)).isTrue();
    }

    @Test
    void refusalNamesTheTimeToAskAgain() {
        witness.acceptHeartbeat(FIRST, new Revision(5), 0);
        Witness.RefusalDecision early = witness.requestRefusal(FIRST, new Revision(5), 100 * MS);
        assertThat(early.granted()).isFalse();
        assertThat(witness.requestRefusal(FIRST, new Revision(5), 100 * MS + early.retryAfterNanos())
                        .granted())
                .isTrue();
    }

    @Test
    void takerWithOutdatedRevisionGetsNoRefusal() {
        witness.acceptHeartbeat(FIRST, new Revision(5), 0);
        assertThat(witness.requestRefusal(FIRST, new Revision(4), 9_000 * MS).granted())
                .isFalse();
    }
}
