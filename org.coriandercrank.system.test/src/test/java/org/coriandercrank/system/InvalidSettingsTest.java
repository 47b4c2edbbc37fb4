package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.coriandercrank.testkit.ChildProcess;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against programs that start with invalid settings or report only the first error. */
class InvalidSettingsTest {
    private static final int EXIT_INVALID_SETTINGS = 2;

    private record InvalidCommandLine(String mainClass, List<String> arguments, List<String> expectedErrors) {}

    @TempDir
    Path directory;

    static Stream<InvalidCommandLine> invalidCommandLines() {
        return Stream.of(
                new InvalidCommandLine(
                        "org.coriandercrank.daemon.Crankd",
                        List.of("--host-name=a b", "--ttl-ms=soon", "--io-threads=0", "--peer-listen=nowhere", "--x=1"),
                        List.of(
                                "--host-name: ",
                                "--ttl-ms: ",
                                "--io-threads: ",
                                "--peer-listen: ",
                                "--x: ",
                                "--region: is required",
                                "--store: is required")),
                new InvalidCommandLine(
                        "org.coriandercrank.standin.CrankStore",
                        List.of("--listen", "127.0.0.1", "--history-entries", "0", "stray"),
                        List.of("--listen: ", "--history-entries: ", "stray: ")),
                new InvalidCommandLine(
                        "org.coriandercrank.standin.CrankBackend",
                        List.of(
                                "--slots=0",
                                "--capabilities=flight",
                                "--cold-start-factor=0.5",
                                "--daemon=x",
                                "--name="),
                        List.of(
                                "--service: is required",
                                "--slots: ",
                                "--capabilities: ",
                                "--cold-start-factor: ",
                                "--daemon: ",
                                "--name: ")),
                new InvalidCommandLine(
                        "org.coriandercrank.ctl.CrankCtl",
                        List.of("status", "--store=nowhere", "--wait-ms=-1", "--json=perhaps", "--service=a b"),
                        List.of("--store: ", "--wait-ms: ", "--json: ", "--service: ")),
                new InvalidCommandLine(
                        "org.coriandercrank.load.CrankLoad",
                        List.of("--rate=0", "--scenario=bakery", "--zipf=9", "--keyed=perhaps", "--seed"),
                        List.of(
                                "--targets: is required",
                                "--rate: ",
                                "--scenario: ",
                                "--zipf: ",
                                "--keyed: ",
                                "--seed: ")));
    }

    @ParameterizedTest
    @MethodSource("invalidCommandLines")
    void allErrorsAreReportedTogether(InvalidCommandLine program) {
        try (ChildProcess process =
                ChildProcess.start("program", directory, program.mainClass(), program.arguments())) {
            assertThat(process.waitForExit()).as(process.output()).isEqualTo(EXIT_INVALID_SETTINGS);
            assertThat(process.output()).contains(program.expectedErrors());
        }
    }
}
