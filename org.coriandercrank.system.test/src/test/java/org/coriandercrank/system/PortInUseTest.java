package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.coriandercrank.testkit.ChildProcess;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against programs that cannot bind a port and then neither serve nor end, so that nobody restarts them. */
class PortInUseTest {
    private static final int EXIT_START_FAILED = 1;
    private static final String PORT_IN_USE = "PORT_IN_USE";

    private record Program(String mainClass, List<String> arguments) {}

    @TempDir
    Path directory;

    static Stream<Program> programs() {
        return Stream.of(
                new Program("org.coriandercrank.standin.CrankStore", List.of("--listen", PORT_IN_USE)),
                new Program(
                        "org.coriandercrank.standin.CrankBackend",
                        List.of("--listen", PORT_IN_USE, "--service", "carts", "--name", "b1")),
                new Program(
                        "org.coriandercrank.daemon.Crankd",
                        List.of(
                                "--host-name=h1",
                                "--region=r1",
                                "--failure-domain=d1",
                                "--store=127.0.0.1:1",
                                "--peer-listen=127.0.0.1:0",
                                "--admin-listen=127.0.0.1:0",
                                "--caller-listen=" + PORT_IN_USE)));
    }

    @ParameterizedTest
    @MethodSource("programs")
    void programEndsIfItsPortIsInUse(Program program) throws IOException {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + occupied.getLocalPort();
            List<String> arguments = program.arguments().stream()
                    .map(argument -> argument.replace(PORT_IN_USE, address))
                    .toList();
            try (ChildProcess process = ChildProcess.start("program", directory, program.mainClass(), arguments)) {
                assertThat(process.waitForExit()).as(process.output()).isEqualTo(EXIT_START_FAILED);
                assertThat(process.output()).contains("event=start-failed");
            }
        }
    }
}
