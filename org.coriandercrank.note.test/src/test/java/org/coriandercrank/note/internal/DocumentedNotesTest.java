package org.coriandercrank.note.internal;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.note.NoteApplier;
import org.coriandercrank.note.NoteError;
import org.coriandercrank.note.NoteParser;
import org.coriandercrank.note.ReleaseNote;
import org.coriandercrank.note.ReleaseNote.Subject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a schema or a documentation page of release notes that differs from the implementation. */
class DocumentedNotesTest {
    private static final Path DOCS = Path.of("../docs");
    private static final Pattern EXAMPLE = Pattern.compile("```json\n(.*?)```", Pattern.DOTALL);

    @ParameterizedTest
    @CsvSource({"SERVICE,service", "BACKEND,backend"})
    void schemaAndPageListFieldsAndLimitsOfEntries(Subject subject, String definition) throws IOException {
        JsonNode properties = schema().path("$defs").path(definition).path("properties");
        String page = Files.readString(DOCS.resolve("RELEASE_NOTES.md"));
        assertThat(names(properties))
                .containsExactlyElementsOf(
                        FieldSpec.of(subject).stream().map(FieldSpec::name).toList());
        for (FieldSpec spec : FieldSpec.of(subject)) {
            JsonNode property = properties.path(spec.name());
            assertThat(page).contains("| `" + spec.name() + "` |");
            if (property.has("maximum")) {
                int min = property.path("minimum").asInt();
                int max = property.path("maximum").asInt();
                assertThat(List.of(min, max))
                        .allSatisfy(number -> assertThat(accepts(spec, IntNode.valueOf(number)))
                                .as(spec.name())
                                .isTrue());
                assertThat(List.of(min - 1, max + 1))
                        .allSatisfy(number -> assertThat(accepts(spec, IntNode.valueOf(number)))
                                .as(spec.name())
                                .isFalse());
            }
            property.path("enum").forEach(value -> {
                assertThat(accepts(spec, value)).as(value.asText()).isTrue();
                assertThat(page).contains("`" + value.asText() + "`");
            });
            if (property.path("$ref").asText().equals("#/$defs/name")) {
                assertThat(accepts(spec, TextNode.valueOf("x".repeat(64)))).isTrue();
                assertThat(accepts(spec, TextNode.valueOf("x".repeat(65)))).isFalse();
            }
        }
    }

    private static boolean accepts(FieldSpec spec, JsonNode value) {
        return spec.validator().apply(value).isEmpty();
    }

    @Test
    void schemaListsFieldsOfNote() throws IOException {
        List<String> fields = names(schema().path("properties"));
        NoteParser parser = new NoteParser();
        parser.parse("{\"absent\":1}");

        assertThat(parser.errors())
                .filteredOn(error -> error.kind() == NoteError.Kind.UNKNOWN_FIELD)
                .extracting(NoteError::message)
                .containsExactly("known fields: " + fields.stream().sorted().toList());
    }

    @Test
    void pageListsKindsOfErrors() throws IOException {
        String page = Files.readString(DOCS.resolve("RELEASE_NOTES.md"));

        assertThat(NoteError.Kind.values())
                .allSatisfy(kind -> assertThat(page).contains("| " + kind.number() + " | `" + kind.name() + "`"));
    }

    @Test
    void examplesAreAcceptedInOrder() throws IOException {
        Set<String> placement = Set.of("availability");
        Set<String> balancing = Set.of("two-choices");
        Matcher examples = EXAMPLE.matcher(Files.readString(DOCS.resolve("RELEASE_NOTES.md")));
        Configuration configuration = Configuration.EMPTY;
        while (examples.find()) {
            NoteParser parser = new NoteParser();
            ReleaseNote note = parser.parse(examples.group(1)).orElseThrow();
            NoteApplier applier =
                    new NoteApplier(configuration, new NoteApplier.Environment(Set.of(), placement, balancing));
            configuration = applier.apply(note).orElse(configuration);
            assertThat(applier.errors()).isEmpty();
        }
        assertThat(configuration.recentNotes()).hasSize(3);
    }

    private static JsonNode schema() throws IOException {
        return JsonCodec.mapper().readTree(Files.readString(DOCS.resolve("release-note.schema.json")));
    }

    private static List<String> names(JsonNode object) {
        List<String> names = new ArrayList<>();
        object.fieldNames().forEachRemaining(names::add);
        return names;
    }
}
