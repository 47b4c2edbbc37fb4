package org.coriandercrank.control.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;
import org.junit.jupiter.api.Test;

/** Guards against an era that counts as settled before the watch of a relay has named it to all daemons. */
class EraSpreadTest {
    /** The options of the users' platform: its watches wait longer than the default. */
    private static final ControlOptions PLATFORM =
            ControlOptions.DEFAULTS.withLeaseTiming(3_600, 800, 105).withWatchWaits(2_000, 25_000, 8_000);

    private static final long SPREAD_MS = 2_000 + 800;

    /** 105 percent of the TTL. */
    private static final long EXPIRY_MS = 3_780;

    @Test
    void eraSpreadsWithinTheWaitOfAWatchAndAHeartbeat() {
        assertThat(PLATFORM.eraSpreadNanos()).isEqualTo(TimeUnit.MILLISECONDS.toNanos(SPREAD_MS));
    }

    @Test
    void eraOfADaemonSettlesAfterItHasSpreadAndAllVotesHaveExpired() {
        EraContext daemon = new EraContext(PLATFORM, new MemberId("self"), Era.NONE);
        daemon.context().eras().observe(new Era(1), daemon.context().nowNanos());
        daemon.time().runFor(SPREAD_MS + EXPIRY_MS);
        assertThat(daemon.context().eras().isSettled(daemon.context().nowNanos()))
                .isFalse();
        daemon.time().runFor(1);
        assertThat(daemon.context().eras().isSettled(daemon.context().nowNanos()))
                .isTrue();
    }
}
