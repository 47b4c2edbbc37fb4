package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an operators' page that lacks log events or metrics of the code, or lists some that do not exist. */
class DocumentedEventsTest {
    private static final Path ROOT = Path.of("..");
    private static final Path PAGE = ROOT.resolve("docs/OPERATIONS.md");

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "## Log events; event=([a-z]+(?:-[a-z]+)*)|line\\(\"([a-z-]+)\"",
                "## Metrics;    \"(crank\\.[a-z.]+)\""
            })
    void pageListsExactlyTheNamesInTheCode(String heading, String pattern) throws IOException {
        assertThat(documentedNames(heading)).isEqualTo(namesInCode(Pattern.compile(pattern)));
    }

    private static Set<String> documentedNames(String heading) throws IOException {
        Set<String> names = new TreeSet<>();
        boolean inSection = false;
        for (String line : Files.readAllLines(PAGE)) {
            if (line.startsWith("## ")) {
                inSection = line.equals(heading);
            }
            Matcher row = Pattern.compile("\\| `([a-z.-]+)`.*").matcher(line);
            if (inSection && row.matches()) {
                names.add(row.group(1));
            }
        }
        return names;
    }

    private static Set<String> namesInCode(Pattern pattern) throws IOException {
        Set<String> names = new TreeSet<>();
        try (Stream<Path> files = Files.walk(ROOT)) {
            files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> file.toString().contains("/src/main/"))
                    .filter(file -> !file.toString().contains(".standin")
                            && !file.toString().contains(".test/"))
                    .forEach(file -> addNames(file, pattern, names));
        }
        return names;
    }

    private static void addNames(Path file, Pattern pattern, Set<String> names) {
        try {
            Matcher matcher = pattern.matcher(Files.readString(file));
            while (matcher.find()) {
                String lastGroup = matcher.group(matcher.groupCount());
                names.add(lastGroup == null ? matcher.group(1) : lastGroup);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
