package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.gate.GateDependencies;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.gate.internal.GateContext;
import org.coriandercrank.gate.internal.GateCore;
import org.coriandercrank.gate.internal.GateMetrics;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.RequestQuarantine;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.scheduling.link.Uplink;
import org.junit.jupiter.api.Test;

/**
 * Guards against a grant that is valid for longer than the lease because the host is suspended after the gate has read
 * the lease: the time that the gate passes with the grant must include the suspension.
 */
class GrantAgeTest {
    private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long SUSPENSION_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final GateFixture fixture = new GateFixture();

    /** Time by which the clock of the lease is ahead of the steady clock, which stops during a suspension. */
    private final AtomicLong suspendedNanos = new AtomicLong();

    private long readLeaseAndSuspendHost() {
        long validUntilNanos = fixture.nowNanos() + LEASE_NANOS;
        suspendedNanos.addAndGet(SUSPENSION_NANOS);
        return validUntilNanos;
    }

    @Test
    void timeSinceTheReadingOfTheLeaseIncludesASuspension() {
        SimpleMeterRegistry meters = new SimpleMeterRegistry();
        GateDependencies dependencies = new GateDependencies(
                GateFixture.SERVICE,
                fixture,
                this::readLeaseAndSuspendHost,
                fixture.timers,
                () -> fixture.nowNanos() + suspendedNanos.get(),
                new DecisionLog(0, fixture.timers.clock()),
                meters,
                (name, capacity) -> {
                    throw new UnsupportedOperationException("the gate core runs on the thread of the test");
                },
                RequestQuarantine.NONE,
                Uplink.UNLIMITED);
        GateCore core = new GateCore(new GateContext(
                dependencies, GateOptions.DEFAULTS, fixture.timers, new GateMetrics(meters), () -> false));
        core.attach(
                new BackendInfo(
                        "desk-1",
                        GateFixture.SERVICE,
                        HostAddress.parse("127.0.0.1:9000"),
                        1,
                        110,
                        GateFixture.ALL_CAPABILITIES),
                fixture.backend);
        core.acquire(KeyRange.ALL, new Generation(1), TransferredRecords.NEVER_OWNED);
        fixture.timers.advanceMs(GateOptions.DEFAULTS.grantDelayMs() + GateOptions.DEFAULTS.busyTickMs());
        core.tick();
        assertThat(fixture.backend.grants).isNotEmpty();
        assertThat(fixture.backend.sinceValidity.elapsedNanos()).isGreaterThanOrEqualTo(SUSPENSION_NANOS);
    }
}
