package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coriandercrank.ctl.internal.CtlSettings;
import org.coriandercrank.daemon.internal.DaemonSettings;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.settings.Settings;
import org.coriandercrank.kernel.settings.SettingsLoader;
import org.coriandercrank.load.internal.LoadSettings;
import org.coriandercrank.standin.BackendSettings;
import org.coriandercrank.standin.StoreSettings;
import org.junit.jupiter.api.Test;
import org.kohsuke.args4j.Option;

/** Guards against a settings page that differs from the settings of the programs. */
class DocumentedSettingsTest {
    private static final Path PAGE = Path.of("../docs/SETTINGS.md");
    private static final Pattern RANGE = Pattern.compile("(\\d+) to (\\d+).*");
    private static final Map<String, Supplier<Settings>> PROGRAMS = Map.of(
            "crankd", DaemonSettings::new,
            "crankctl", CtlSettings::new,
            "crank-load", LoadSettings::new,
            "crank-store", StoreSettings::new,
            "crank-backend", BackendSettings::new);

    /** A row of a table on the settings page. Immutable. */
    private record Row(String flag, String variable, String unit, String defaultText, String range, String meaning) {
        static Row parse(String line) {
            List<String> cells = Arrays.stream(line.split("\\|"))
                    .skip(1)
                    .map(cell -> cell.strip().replaceAll("^`(.*)`$", "$1"))
                    .toList();
            return new Row(cells.get(0), cells.get(1), cells.get(2), cells.get(3), cells.get(4), cells.get(5));
        }
    }

    @Test
    void pageListsEachSettingOfEachProgram() {
        Map<String, List<Row>> page = readPage();
        assertThat(page).containsOnlyKeys(PROGRAMS.keySet());
        PROGRAMS.forEach((program, bean) -> {
            List<String> documented = page.get(program).stream()
                    .map(row -> String.join("|", row.flag, row.variable, row.meaning))
                    .toList();
            List<String> actual = options(bean.get()).keySet().stream()
                    .map(option ->
                            String.join("|", option.name(), SettingsLoader.variableName(option.name()), option.usage()))
                    .toList();
            assertThat(documented).as(program).containsExactlyElementsOf(actual);
        });
    }

    @Test
    void pageStatesDefaultsAndUnits() {
        readPage()
                .forEach((program, rows) -> rows.forEach(row -> {
                    Object value = options(PROGRAMS.get(program).get()).entrySet().stream()
                            .filter(entry -> entry.getKey().name().equals(row.flag))
                            .map(Map.Entry::getValue)
                            .findFirst()
                            .orElseThrow();
                    String text = value.toString();
                    if (row.defaultText.equals("required")) {
                        assertThat(validationErrors(program, row, null))
                                .as(program + row.flag)
                                .isNotEmpty();
                    } else {
                        assertThat(text.isEmpty() ? "empty" : text)
                                .as(program + row.flag)
                                .isEqualTo(row.defaultText);
                    }
                    assertThat(row.unit.equals("ms")).as(program + row.flag).isEqualTo(row.flag.endsWith("-ms"));
                    assertThat(row.range).as(program + row.flag).isNotEmpty();
                }));
    }

    @Test
    void pageStatesRanges() {
        readPage()
                .forEach((program, rows) -> rows.forEach(row -> {
                    Matcher range = RANGE.matcher(row.range);
                    if (range.matches() && !row.range.contains("character") && !row.range.contains("bytes")) {
                        long min = Long.parseLong(range.group(1));
                        long max = Long.parseLong(range.group(2));
                        assertThat(validationErrors(program, row, min))
                                .as(program + row)
                                .isEmpty();
                        assertThat(validationErrors(program, row, max))
                                .as(program + row)
                                .isEmpty();
                        assertThat(validationErrors(program, row, min - 1))
                                .as(program + row)
                                .isNotEmpty();
                        assertThat(validationErrors(program, row, max + 1))
                                .as(program + row)
                                .isNotEmpty();
                    }
                }));
    }

    /** Validation errors of a flag that has the given value, or that is absent if the value is null. */
    private static List<String> validationErrors(String program, Row row, Long value) {
        try {
            SettingsLoader.load(
                    PROGRAMS.get(program).get(),
                    value == null ? List.of() : List.of(row.flag, value.toString()),
                    Map.of());
            return List.of();
        } catch (CrankException e) {
            return e.getMessage()
                    .lines()
                    .filter(line -> line.startsWith(row.flag + ":"))
                    .toList();
        }
    }

    /** Options of a settings bean in the order of its fields, with their defaults; an empty string stands for null. */
    private static Map<Option, Object> options(Settings bean) {
        Map<Option, Object> options = new LinkedHashMap<>();
        for (Field field : bean.getClass().getDeclaredFields()) {
            Option option = field.getAnnotation(Option.class);
            if (option != null) {
                try {
                    field.setAccessible(true);
                    Object value = field.get(bean);
                    options.put(option, value == null ? "" : value);
                } catch (IllegalAccessException e) {
                    throw new AssertionError(e);
                }
            }
        }
        return options;
    }

    private static Map<String, List<Row>> readPage() {
        Map<String, List<Row>> programs = new LinkedHashMap<>();
        String program = "";
        try {
            for (String line : Files.readAllLines(PAGE)) {
                if (line.startsWith("## ")) {
                    program = line.substring(3);
                } else if (line.startsWith("| `--")) {
                    programs.computeIfAbsent(program, name -> new ArrayList<>()).add(Row.parse(line));
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return programs;
    }
}
