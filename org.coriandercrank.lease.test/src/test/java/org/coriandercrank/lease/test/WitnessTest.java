package org.coriandercrank.lease.test;

import static org.assertj.core.api.Assertions.assertThat;

import org.coriandercrank.kernel.id.BootId;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.lease.LeaseTiming;
import org.coriandercrank.lease.Witness;
import org.coriandercrank.lease.Witness.HeartbeatDecision;
import org.junit.jupiter.api.Test;

/**
 * Guards against a witness that violates earlier votes that it does not know: those to members that it evicted from its
 * bounded memory, and those of the processes before its restart.
 */
class WitnessTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final LeaseTiming TIMING = LeaseTiming.ofMs(2_000, 500, 105);
    private static final MemberId FIRST = new MemberId("first");
    private static final MemberId SECOND = new MemberId("second");

    private static final BootId BOOT = new BootId(7);
    private static final long LONG_KNOWN_NANOS = 60_000 * NANOS_PER_MS;
    private static final long LONG_AGO_NANOS = -60_000 * NANOS_PER_MS;

    private final Witness witness = new Witness(TIMING, 1, BOOT, LONG_AGO_NANOS);

    private static void acknowledge(Witness witness, MemberId member, long revision, long nowNanos) {
        assertThat(witness.acceptHeartbeat(member, new Revision(revision), BOOT, nowNanos))
                .isEqualTo(HeartbeatDecision.ACKNOWLEDGED);
    }

    @Test
    void evictedAcknowledgementStillDelaysRefusal() {
        acknowledge(witness, FIRST, 5, 0);
        acknowledge(witness, SECOND, 6, NANOS_PER_MS);
        assertThat(witness.requestRefusal(FIRST, new Revision(5), LONG_KNOWN_NANOS, 2_000 * NANOS_PER_MS)
                        .granted())
                .isFalse();
        assertThat(witness.requestRefusal(FIRST, new Revision(5), LONG_KNOWN_NANOS, 2_102 * NANOS_PER_MS)
                        .granted())
                .isTrue();
    }

    @Test
    void evictedRefusalStillRejectsHeartbeats() {
        assertThat(witness.requestRefusal(FIRST, new Revision(5), LONG_KNOWN_NANOS, 0)
                        .granted())
                .isTrue();
        acknowledge(witness, SECOND, 6, NANOS_PER_MS);
        assertThat(witness.acceptHeartbeat(FIRST, new Revision(5), BOOT, 2 * NANOS_PER_MS))
                .isEqualTo(HeartbeatDecision.REFUSED);
        acknowledge(witness, FIRST, 7, 3 * NANOS_PER_MS);
    }

    @Test
    void deniedRefusalReturnsTheRetryDelay() {
        acknowledge(witness, FIRST, 5, 0);
        Witness.RefusalDecision denied =
                witness.requestRefusal(FIRST, new Revision(5), LONG_KNOWN_NANOS, 100 * NANOS_PER_MS);
        assertThat(denied.granted()).isFalse();
        assertThat(witness.requestRefusal(
                                FIRST, new Revision(5), LONG_KNOWN_NANOS, 100 * NANOS_PER_MS + denied.retryAfterNanos())
                        .granted())
                .isTrue();
    }

    @Test
    void takerWithOutdatedRevisionGetsNoRefusal() {
        acknowledge(witness, FIRST, 5, 0);
        assertThat(witness.requestRefusal(FIRST, new Revision(4), LONG_KNOWN_NANOS, 9_000 * NANOS_PER_MS)
                        .granted())
                .isFalse();
    }

    /** An earlier process may have acknowledged the member just before it ended. */
    @Test
    void restartedWitnessRefusesNobodyWithinTheExpiryTime() {
        Witness restarted = new Witness(TIMING, 1, BOOT, 0);
        assertThat(restarted
                        .requestRefusal(FIRST, new Revision(5), LONG_KNOWN_NANOS, 2_100 * NANOS_PER_MS)
                        .granted())
                .isFalse();
        assertThat(restarted
                        .requestRefusal(FIRST, new Revision(5), LONG_KNOWN_NANOS, 2_101 * NANOS_PER_MS)
                        .granted())
                .isTrue();
    }

    /** An earlier process may have refused the member, and a taker may still count that refusal. */
    @Test
    void restartedWitnessAcknowledgesOnlyHeartbeatsThatNameItsProcess() {
        Witness restarted = new Witness(TIMING, 1, BOOT, 0);
        for (BootId other : new BootId[] {BootId.NONE, new BootId(6)}) {
            assertThat(restarted.acceptHeartbeat(FIRST, new Revision(5), other, NANOS_PER_MS))
                    .isEqualTo(HeartbeatDecision.OTHER_BOOT);
        }
        acknowledge(restarted, FIRST, 5, NANOS_PER_MS);
    }

    /** A member relies on that after it has rewritten its record, see {@link RestartedWitnessTest}. */
    @Test
    void takerThatHasJustLearnedOfTheRevisionGetsNoRefusal() {
        Witness.RefusalDecision denied =
                witness.requestRefusal(FIRST, new Revision(5), 2_100 * NANOS_PER_MS, 9_000 * NANOS_PER_MS);
        assertThat(denied.granted()).isFalse();
        assertThat(witness.requestRefusal(FIRST, new Revision(5), 2_101 * NANOS_PER_MS, 9_000 * NANOS_PER_MS)
                        .granted())
                .isTrue();
    }
}
