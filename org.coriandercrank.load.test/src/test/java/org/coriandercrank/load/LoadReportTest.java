package org.coriandercrank.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;
import static org.coriandercrank.load.Histories.execution;
import static org.coriandercrank.load.Histories.read;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against wrong measurements in reports and against incompletely read ledgers. */
class LoadReportTest {
    private static final String LEDGER_LINE = "{\"order\":1,\"server\":\"s1\",\"requestId\":\"a\",\"key\":\"k\","
            + "\"method\":\"PUT\",\"fence\":5,\"startNanos\":1,\"endNanos\":2,\"startWallMs\":3,\"endWallMs\":4}\n";

    @Test
    void keyIsUnavailableFromTheFirstFailureToItsNextSuccess() {
        LoadReport report = LoadReport.of(
                0,
                List.of(
                        read("a1", "a", 0, 10, Outcome.RUN),
                        read("a2", "a", 100, 110, Outcome.NOT_RUN),
                        read("a3", "a", 200, 250, Outcome.UNKNOWN),
                        read("b1", "b", 300, 320, Outcome.RUN),
                        read("a4", "a", 500, 600, Outcome.RUN),
                        read("b2", "b", 700, 710, Outcome.NOT_RUN),
                        read("b3", "b", 800, 1000, Outcome.NOT_RUN)),
                List.of());

        assertThat(report.calls()).isEqualTo(7);
        assertThat(report.succeeded()).isEqualTo(3);
        assertThat(report.goodputPerSecond()).isCloseTo(3, within(0.01));
        assertThat(report.longestGapMs()).isEqualTo(500);
        assertThat(report.unavailableKeySeconds()).isCloseTo(0.5 + 0.3, within(1e-9));
        assertThat(report.outcomes())
                .containsEntry("run", 3L)
                .containsEntry("not-run", 3L)
                .containsEntry("unknown", 1L);
        assertThat(report.resultCodes())
                .containsEntry("OK", 3L)
                .containsEntry("OVERLOADED", 3L)
                .containsEntry("OUTCOME_UNKNOWN", 1L);
    }

    @Test
    void latencyCountsFromTheScheduledStart() {
        List<CallRecord> calls = new ArrayList<>();
        for (int ms = 1; ms <= 100; ms++) {
            calls.add(read("r" + ms, "k", 10, 10 + ms, Outcome.RUN));
        }
        LoadReport report = LoadReport.of(0, calls, List.of());

        assertThat(report.latencyP50Ms()).isCloseTo(50, within(0.1));
        assertThat(report.latencyP99Ms()).isCloseTo(99, within(0.1));
        assertThat(report.latencyMaxMs()).isCloseTo(100, within(0.1));
    }

    /**
     * In second 0 the servers execute 3 and 1 requests, imbalance 1.5; in second 1 they execute 2 and 0, imbalance 2.0.
     * The mean is 1.75.
     */
    @Test
    void imbalanceIsTheMeanOverSecondsAndCountsIdleServers() {
        LoadReport report = LoadReport.of(
                0,
                List.of(read("x", "k", 100, 110, Outcome.NOT_RUN), read("y", "k", 1_100, 1_110, Outcome.NOT_RUN)),
                List.of(
                        execution("s1", "a", 1, 0, 10),
                        execution("s1", "b", 1, 0, 20),
                        execution("s1", "c", 1, 0, 30),
                        execution("s2", "d", 1, 40, 50),
                        execution("s1", "e", 1, 1_000, 1_100),
                        execution("s1", "f", 1, 1_000, 1_200)));

        assertThat(report.perSecond())
                .extracting(LoadReport.SecondStats::imbalance)
                .containsExactly(1.5, 2.0);
        assertThat(report.imbalance()).isCloseTo(1.75, within(1e-9));
    }

    @Test
    void incompleteLastLedgerLineIsIgnored(@TempDir Path directory) throws IOException {
        Path incompleteLastLine =
                Files.writeString(directory.resolve("cut"), LEDGER_LINE + LEDGER_LINE.substring(0, 40));
        Path onlyIncompleteLine = Files.writeString(directory.resolve("only"), LEDGER_LINE.substring(0, 40));

        assertThat(LedgerReader.read(List.of(incompleteLastLine, onlyIncompleteLine, directory.resolve("missing"))))
                .containsExactly(new Execution("s1", "a", "k", "PUT", 5, 1, 2));
    }

    @Test
    void malformedLedgerLineInTheMiddleIsAnError(@TempDir Path directory) throws IOException {
        Path malformedLine =
                Files.writeString(directory.resolve("broken"), LEDGER_LINE + "{\"server\":\n" + LEDGER_LINE);

        assertThatThrownBy(() -> LedgerReader.read(List.of(malformedLine))).isInstanceOf(CrankException.class);
    }
}
