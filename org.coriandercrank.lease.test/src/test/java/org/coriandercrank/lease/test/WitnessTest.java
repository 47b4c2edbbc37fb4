package org.coriandercrank.lease.test;

import static org.assertj.core.api.Assertions.assertThat;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.lease.LeaseTiming;
import org.coriandercrank.lease.Witness;
import org.junit.jupiter.api.Test;

/** Guards against a witness that violates its earlier votes after it evicted a member from its bounded memory. */
class WitnessTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final LeaseTiming TIMING = LeaseTiming.ofMs(2_000, 500, 105);
    private static final MemberId FIRST = new MemberId("first");
    private static final MemberId SECOND = new MemberId("second");

    private final Witness witness = new Witness(TIMING, 1);

    @Test
    void evictedAcknowledgementStillDelaysRefusal() {
        witness.acceptHeartbeat(FIRST, new Revision(5), 0);
        witness.acceptHeartbeat(SECOND, new Revision(6), NANOS_PER_MS);
        assertThat(witness.requestRefusal(FIRST, new Revision(5), 2_000 * NANOS_PER_MS)
                        .granted())
                .isFalse();
        assertThat(witness.requestRefusal(FIRST, new Revision(5), 2_102 * NANOS_PER_MS)
                        .granted())
                .isTrue();
    }

    @Test
    void evictedRefusalStillRejectsHeartbeats() {
        assertThat(witness.requestRefusal(FIRST, new Revision(5), 0).granted()).isTrue();
        witness.acceptHeartbeat(SECOND, new Revision(6), NANOS_PER_MS);
        assertThat(witness.acceptHeartbeat(FIRST, new Revision(5), 2 * NANOS_PER_MS))
                .isFalse();
        assertThat(witness.acceptHeartbeat(FIRST, new Revision(7), 3 * NANOS_PER_MS))
                .isTrue();
    }

    @Test
    void deniedRefusalReturnsTheRetryDelay() {
        witness.acceptHeartbeat(FIRST, new Revision(5), 0);
        Witness.RefusalDecision denied = witness.requestRefusal(FIRST, new Revision(5), 100 * NANOS_PER_MS);
        assertThat(denied.granted()).isFalse();
        assertThat(witness.requestRefusal(FIRST, new Revision(5), 100 * NANOS_PER_MS + denied.retryAfterNanos())
                        .granted())
                .isTrue();
    }

    @Test
    void takerWithOutdatedRevisionGetsNoRefusal() {
        witness.acceptHeartbeat(FIRST, new Revision(5), 0);
        assertThat(witness.requestRefusal(FIRST, new Revision(4), 9_000 * NANOS_PER_MS)
                        .granted())
                .isFalse();
    }
}
