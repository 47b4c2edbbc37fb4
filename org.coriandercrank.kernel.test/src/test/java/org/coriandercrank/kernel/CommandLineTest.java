package org.coriandercrank.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.coriandercrank.kernel.settings.CommandLine;
import org.coriandercrank.kernel.settings.Settings;
import org.coriandercrank.kernel.settings.ValidationErrors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kohsuke.args4j.Option;

/**
 * Guards against a request for help that is treated as an error, and against a program that starts with invalid
 * settings.
 */
class CommandLineTest {
    private static final class TestSettings implements Settings {
        @Option(name = "--store-address", usage = "address of the store")
        private String storeAddress = "default";

        @Option(name = "--slots", usage = "number of slots")
        private int slots = 3;

        @Override
        public void validate(ValidationErrors errors) {
            errors.requireRange("--slots", slots, 1, 10);
        }
    }

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final TestSettings settings = new TestSettings();

    private OptionalInt load(String... arguments) {
        CommandLine commandLine = new CommandLine(
                "crank-test",
                "[--FLAG VALUE]...",
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return commandLine.load(settings, List.of(arguments), Map.of());
    }

    @Test
    void helpPrintsUsageAndExitsWithZero() {
        assertThat(load("--slots", "99", "--help")).hasValue(0);
        assertThat(out.toString(StandardCharsets.UTF_8))
                .startsWith("usage: crank-test [--FLAG VALUE]...")
                .contains("CRANK_SLOTS", "--slots", "number of slots", "--store-address");
        assertThat(err.size()).isZero();
    }

    @Test
    void versionPrintsTheProgramName() {
        assertThat(load("--version")).hasValue(0);
        assertThat(out.toString(StandardCharsets.UTF_8)).startsWith("crank-test ");
    }

    @Test
    void validSettingsPrintNothingAndReturnNoExitCode() {
        assertThat(load("--slots=4", "--store-address", "a")).isEmpty();
        assertThat(settings.slots).isEqualTo(4);
        assertThat(settings.storeAddress).isEqualTo("a");
        assertThat(out.size() + err.size()).isZero();
    }

    @ParameterizedTest
    @CsvSource({
        "--slot=3, --slot: is not a flag; did you mean --slots?",
        "--store-adress=a, --store-adress: is not a flag; did you mean --store-address?",
        "--slotss 3, --slotss: is not a flag; did you mean --slots?",
        "--colour=red, --colour: is not a flag",
        "--slots=11, '--slots: must be between 1 and 10, got 11'"
    })
    void errorNamesTheProblemAndSuggestsAFlag(String arguments, String expected) {
        assertThat(load(arguments.split(" "))).hasValue(CommandLine.EXIT_USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8).lines().toList())
                .startsWith("SETTING_INVALID (500):")
                .contains(expected)
                .endsWith("crank-test --help lists the flags");
    }
}
