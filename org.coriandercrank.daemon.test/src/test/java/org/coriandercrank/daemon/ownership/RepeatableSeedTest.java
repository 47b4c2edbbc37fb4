package org.coriandercrank.daemon.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against decisions that depend on the order of the JDK's immutable sets and maps, which differs between processes:
 * a seed that broke a rule would not show the same run again.
 */
class RepeatableSeedTest {
    private static final int PROCESSES = 3;

    @ParameterizedTest
    @CsvSource({"NO_DRILLS, 5", "ALL, 12"})
    void seedRepeatsItsRunInEachProcess(String mix, String seed) throws Exception {
        List<Process> processes = new ArrayList<>();
        for (int i = 0; i < PROCESSES; i++) {
            processes.add(start(mix, seed));
        }
        List<List<String>> timelines = new ArrayList<>();
        for (Process process : processes) {
            timelines.add(process.inputReader(StandardCharsets.UTF_8).lines().toList());
            assertThat(process.waitFor()).isZero();
        }
        assertThat(timelines.get(0)).hasSizeGreaterThan(100);
        for (List<String> timeline : timelines) {
            assertThat(timeline).containsExactlyElementsOf(timelines.get(0));
        }
    }

    private static Process start(String mix, String seed) throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        OwnershipTrial.class.getName(),
                        mix,
                        seed)
                .redirectErrorStream(true)
                .start();
    }
}
