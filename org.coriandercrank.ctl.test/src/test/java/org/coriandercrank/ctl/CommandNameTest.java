package org.coriandercrank.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a mistyped command that accesses the store, or whose error message does not list the commands. */
class CommandNameTest {
    @ParameterizedTest
    @CsvSource({
        "statsu, 2, '\"statsu\" is not a command; did you mean \"status\"?'",
        "note sumbit, 2, '\"note sumbit\" is not a command; did you mean \"note submit\"?'",
        "bake, 2, '\"bake\" is not a command'",
        "'', 2, '\"\" is not a command'",
        "status --sotre=x, 2, '--sotre: is not a flag; did you mean --store?'",
        "--help, 0, usage: crankctl COMMAND [--FLAG VALUE]...",
        "status --help, 0, 'commands: explain, members, note check, note diff, note list, note show, note status, "
                + "note submit, owners, status'"
    })
    void commandLineIsCheckedBeforeTheStoreIsAccessed(String arguments, int exitCode, String expectedLine) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream printStream = new PrintStream(output, true, StandardCharsets.UTF_8);
        List<String> commandLineWords = arguments.isEmpty() ? List.of() : List.of(arguments.split(" "));

        assertThat(CrankCtl.run(commandLineWords, Map.of("CRANK_STORE", "127.0.0.1:1"), printStream, printStream))
                .isEqualTo(exitCode);
        assertThat(output.toString(StandardCharsets.UTF_8).lines()).contains(expectedLine);
    }
}
