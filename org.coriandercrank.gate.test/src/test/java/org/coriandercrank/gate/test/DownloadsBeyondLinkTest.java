package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.scheduling.link.Uplink;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a gate that admits more long answers than the link of its host can send: all of them arrive late, although
 * the server has free slots.
 */
class DownloadsBeyondLinkTest {
    private static final double LINK_MBIT_PER_SECOND = 10;
    private static final int SLOTS = 8;
    private static final int SERVICE_MS = 60;
    private static final int LONG_BYTES = 90_000;
    private static final long OBJECTIVE_MS = 600;
    private static final long DEADLINE_MS = 2_500;
    private static final RequestRules DOWNLOAD = new RequestRules(true, 2, 2, OBJECTIVE_MS);
    private static final RequestRules CALL = new RequestRules(true, 2, 2, 100);

    /** Twice what the link can send: an answer of 90 KB takes 72 ms at 10 Mbit/s. */
    private static final int ARRIVAL_INTERVAL_MS = 36;

    private static final int ARRIVALS = 200;

    private final VirtualTimers timers = new VirtualTimers();
    private final Uplink uplink = new Uplink(LINK_MBIT_PER_SECOND, timers);
    private final GateFixture gate = new GateFixture(timers, uplink);
    private final List<Long> deliveredAfterMs = new ArrayList<>();
    private final List<CallerAnswer> refusals = new ArrayList<>();
    private int nextId;

    @BeforeEach
    void attachServer() {
        gate.serviceConfig = ServiceConfig.withDefaults(GateFixture.SERVICE, false);
        gate.attach(SLOTS, GateFixture.ALL_CAPABILITIES);
        gate.backend.onCall = call -> timers.scheduleAfter(
                SERVICE_MS,
                () -> call.answer.complete(CallerAnswer.executed(
                        200,
                        List.of(),
                        new byte
                                [call.backendCall.request().rules().equals(Optional.of(DOWNLOAD))
                                        ? LONG_BYTES
                                        : 100])));
    }

    private CompletableFuture<CallerAnswer> submit(RequestRules rules) {
        return gate.submit(new CallerRequest(
                new RequestId("r" + nextId++),
                GateFixture.SERVICE,
                Optional.empty(),
                "GET",
                "/bundle",
                List.of(),
                new byte[0],
                DEADLINE_MS,
                Optional.empty(),
                OptionalLong.empty(),
                Optional.of(rules)));
    }

    /** Submits a download and sends its answer on the link. */
    private void download() {
        long submittedNanos = timers.clock().nowNanos();
        submit(DOWNLOAD).thenAccept(answer -> {
            if (answer.code() != ResultCode.OK) {
                refusals.add(answer);
                return;
            }
            long[] remainingBytes = {answer.body().length};
            uplink.start(answer.body().length, new Uplink.Sender() {
                @Override
                public boolean isReady() {
                    return true;
                }

                @Override
                public void send(int bytes) {
                    remainingBytes[0] -= bytes;
                    if (remainingBytes[0] == 0) {
                        deliveredAfterMs.add(
                                TimeUnit.NANOSECONDS.toMillis(timers.clock().nowNanos() - submittedNanos));
                    }
                }
            });
        });
    }

    private void downloadBeyondTheLink() {
        for (int i = 0; i < ARRIVALS; i++) {
            download();
            timers.advanceMs(ARRIVAL_INTERVAL_MS);
        }
        timers.advanceMs(DEADLINE_MS);
    }

    @Test
    void admittedDownloadsArriveInTimeAndUseTheLink() {
        downloadBeyondTheLink();
        // The first answers tell the gate how long such answers are.
        assertThat(deliveredAfterMs.subList(10, deliveredAfterMs.size())).allMatch(ms -> ms <= OBJECTIVE_MS);
        double sentMs = uplink.transferMs(deliveredAfterMs.size() * (double) LONG_BYTES);
        assertThat(sentMs).isGreaterThan(0.9 * ARRIVALS * ARRIVAL_INTERVAL_MS);
        assertThat(refusals)
                .isNotEmpty()
                .allMatch(answer -> answer.code() == ResultCode.OVERLOADED
                        && answer.retryAfterMs().isPresent());
    }

    @Test
    void callsWithShortAnswersAreAdmittedBesideThem() {
        List<CompletableFuture<CallerAnswer>> calls = new ArrayList<>();
        for (int i = 0; i < ARRIVALS; i++) {
            download();
            calls.add(submit(CALL));
            timers.advanceMs(ARRIVAL_INTERVAL_MS);
        }
        assertThat(refusals).isNotEmpty();
        assertThat(calls.subList(0, ARRIVALS - SLOTS))
                .allMatch(call -> call.join().code() == ResultCode.OK);
    }
}
