package org.coriandercrank.daemon.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coriandercrank.kernel.backend.ProbeResult;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a failed server that keeps its ranges, and against a running server that loses them. */
class BackendFailureDetectorTest {
    /** The result of a probe at a time; an empty result stands for an announcement of the server. */
    record Observation(long atMs, Optional<ProbeResult> probeResult) {}

    private static Observation announced(long atMs) {
        return new Observation(atMs, Optional.empty());
    }

    private static Observation answered(long atMs) {
        return new Observation(atMs, Optional.of(ProbeResult.ANSWERED));
    }

    private static Observation refused(long atMs) {
        return new Observation(atMs, Optional.of(ProbeResult.REFUSED));
    }

    private static Observation silent(long atMs) {
        return new Observation(atMs, Optional.of(ProbeResult.SILENT));
    }

    static Stream<Arguments> histories() {
        return Stream.of(
                Arguments.of(
                        "port closed", true, List.of(refused(0), refused(500), refused(1_000)), "connections-refused"),
                Arguments.of(
                        "port closed, no validity", false, List.of(refused(0), refused(1_000)), "connections-refused"),
                Arguments.of(
                        "restart within a second",
                        true,
                        List.of(refused(0), refused(900), answered(1_000), refused(1_500)),
                        ""),
                Arguments.of(
                        "announced between refusals", true, List.of(refused(0), announced(800), refused(1_200)), ""),
                Arguments.of("silent", true, List.of(silent(0), silent(1_000), silent(1_250)), "silent"),
                Arguments.of(
                        "silent between refusals",
                        true,
                        List.of(refused(0), silent(600), refused(1_100)),
                        "connections-refused"),
                Arguments.of("silent, no validity", false, List.of(silent(0), silent(2_500), silent(60_000)), ""),
                Arguments.of(
                        "silent from time to time",
                        true,
                        List.of(silent(0), answered(1_100), silent(2_000), answered(3_100)),
                        ""),
                Arguments.of(
                        "after a suspension of the daemon",
                        true,
                        List.of(answered(0), silent(60_000), answered(60_250)),
                        ""),
                Arguments.of(
                        "announced while it does not answer probes",
                        true,
                        List.of(silent(0), announced(1_100), silent(1_250), silent(2_300)),
                        ""));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("histories")
    void detectsFailedServer(String name, boolean honoursValidity, List<Observation> observations, String expected) {
        BackendFailureDetector detector = new BackendFailureDetector(honoursValidity);
        Optional<BackendFailureDetector.Failure> failure = Optional.empty();
        for (Observation observation : observations) {
            assertThat(failure).isEmpty();
            long nowNanos = TimeUnit.MILLISECONDS.toNanos(observation.atMs());
            if (observation.probeResult().isPresent()) {
                failure = detector.onProbeResult(observation.probeResult().get(), nowNanos);
            } else {
                detector.onAnnounced();
            }
        }
        assertThat(failure.map(BackendFailureDetector.Failure::toString))
                .isEqualTo(Optional.of(expected).filter(text -> !text.isEmpty()));
    }
}
