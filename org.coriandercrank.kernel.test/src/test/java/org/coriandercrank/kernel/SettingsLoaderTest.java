package org.coriandercrank.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.settings.Settings;
import org.coriandercrank.kernel.settings.SettingsLoader;
import org.coriandercrank.kernel.settings.ValidationErrors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kohsuke.args4j.Option;

/**
 * Guards against settings that are read from the wrong source, and against errors that are reported only one at a time.
 */
class SettingsLoaderTest {
    private static final class TestSettings implements Settings {
        @Option(name = "--store-address", usage = "address of the store")
        private String storeAddress = "default";

        @Option(name = "--slots", usage = "number of slots")
        private int slots = 3;

        @Override
        public void validate(ValidationErrors errors) {
            errors.requireRange("--slots", slots, 1, 10);
            errors.parse("--store-address", storeAddress, text -> text);
        }
    }

    private static TestSettings load(Map<String, String> environment, String... flags) {
        return SettingsLoader.load(new TestSettings(), List.of(flags), environment);
    }

    @ParameterizedTest
    @CsvSource({
        "'', '', default",
        "variable, '', variable",
        "'', --store-address=flag, flag",
        "variable, --store-address=flag, flag",
        "variable, --store-address flag, flag",
        "'', --store-address=a=b, a=b"
    })
    void flagOverridesVariableOverridesDefault(String variable, String flags, String expected) {
        Map<String, String> environment = variable.isEmpty() ? Map.of() : Map.of("CRANK_STORE_ADDRESS", variable);
        TestSettings settings = load(environment, flags.isEmpty() ? new String[0] : flags.split(" "));
        assertThat(settings.storeAddress).isEqualTo(expected);
    }

    @Test
    void unrelatedVariablesAreIgnored() {
        assertThat(load(Map.of("CRANK_OTHER", "1", "SLOTS", "9")).slots).isEqualTo(3);
    }

    @Test
    void allErrorsAreReportedTogetherWithTheirSource() {
        assertThatThrownBy(() -> load(
                        Map.of("CRANK_SLOTS", "many"),
                        "--slots=11",
                        "stray",
                        "--unknown=1",
                        "--store-address=",
                        "--slots"))
                .isInstanceOfSatisfying(
                        CrankException.class, e -> assertThat(e.code()).isEqualTo(ResultCode.SETTING_INVALID))
                .message()
                .satisfies(message -> assertThat(message.lines())
                        .anyMatch(line -> line.startsWith("CRANK_SLOTS: "))
                        .anyMatch(line -> line.startsWith("stray: is not a flag"))
                        .anyMatch(line -> line.startsWith("--unknown: "))
                        .anyMatch(line -> line.startsWith("--slots: needs a value"))
                        .anyMatch(line -> line.startsWith("--slots: must be between 1 and 10, got 11"))
                        .anyMatch(line -> line.startsWith("--store-address: is required"))
                        .hasSize(6));
    }

    @Test
    void usageListsAllFlags() {
        assertThat(SettingsLoader.usage(new TestSettings())).contains("--store-address", "--slots", "number of slots");
    }
}
