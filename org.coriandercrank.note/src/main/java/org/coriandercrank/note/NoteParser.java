package org.coriandercrank.note;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.note.NoteError.Kind;
import org.coriandercrank.note.ReleaseNote.Action;
import org.coriandercrank.note.ReleaseNote.Entry;
import org.coriandercrank.note.ReleaseNote.Subject;

/**
 * Parses the JSON form of a release note and collects all errors of its structure. Not thread safe; use one instance
 * for each note.
 */
public final class NoteParser {
    private static final Set<String> NOTE_FIELDS = Set.of("id", "basedOn", "add", "change", "withdraw");

    /** Rejects a repeated field and a second JSON value, which Jackson would otherwise drop silently. */
    private static final ObjectReader READER = JsonCodec.mapper()
            .reader()
            .with(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final List<NoteError> errors = new ArrayList<>();

    /** Returns the note, or empty if there are errors. */
    public Optional<ReleaseNote> parse(String json) {
        Optional<ObjectNode> root = readObject(json);
        if (root.isEmpty()) {
            return Optional.empty();
        }
        rejectUnknownFields("", root.get(), NOTE_FIELDS);
        NoteId id = parseId(root.get().get("id"));
        Revision basedOn = parseRevision(root.get().get("basedOn"));
        List<Entry> entries = new ArrayList<>();
        for (Action action : Action.values()) {
            parseAction(action, root.get().get(action.field()), entries);
        }
        if (entries.isEmpty() && errors.isEmpty()) {
            errors.add(new NoteError("", Kind.EMPTY_NOTE, "the note has no entry"));
        }
        return errors.isEmpty() ? Optional.of(new ReleaseNote(id, basedOn, entries)) : Optional.empty();
    }

    public List<NoteError> errors() {
        return List.copyOf(errors);
    }

    /** Returns the result code for the errors found. */
    public ResultCode code() {
        boolean unreadable = errors.stream().anyMatch(error -> error.kind() == Kind.UNREADABLE);
        return unreadable ? ResultCode.NOTE_UNREADABLE : ResultCode.NOTE_INVALID;
    }

    private Optional<ObjectNode> readObject(String json) {
        try {
            JsonNode node = READER.readTree(json);
            if (node instanceof ObjectNode object) {
                return Optional.of(object);
            }
            errors.add(new NoteError("", Kind.UNREADABLE, "the note must be a JSON object"));
        } catch (JsonProcessingException e) {
            errors.add(new NoteError("", Kind.UNREADABLE, e.getOriginalMessage()));
        }
        return Optional.empty();
    }

    private NoteId parseId(JsonNode node) {
        if (node == null) {
            errors.add(new NoteError("id", Kind.MISSING, "a note must have an id"));
            return null;
        }
        if (!node.isTextual()) {
            errors.add(new NoteError("id", Kind.WRONG_TYPE, "must be a string"));
            return null;
        }
        try {
            return new NoteId(node.asText());
        } catch (IllegalArgumentException e) {
            errors.add(new NoteError("id", Kind.OUT_OF_RANGE, e.getMessage()));
            return null;
        }
    }

    private Revision parseRevision(JsonNode node) {
        if (node == null) {
            errors.add(new NoteError("basedOn", Kind.MISSING, "a note must state the revision that it is based on"));
            return null;
        }
        if (!node.isIntegralNumber() || !node.canConvertToLong() || node.asLong() < 0) {
            errors.add(new NoteError("basedOn", Kind.WRONG_TYPE, "must be a revision number of at least 0"));
            return null;
        }
        return new Revision(node.asLong());
    }

    private void parseAction(Action action, JsonNode node, List<Entry> entries) {
        if (node == null) {
            return;
        }
        if (!(node instanceof ObjectNode object)) {
            errors.add(new NoteError(action.field(), Kind.WRONG_TYPE, "must be an object"));
            return;
        }
        rejectUnknownFields(action.field() + ".", object, Set.of(Subject.SERVICE.field(), Subject.BACKEND.field()));
        for (Subject subject : Subject.values()) {
            parseEntries(action, subject, object.get(subject.field()), entries);
        }
    }

    private void parseEntries(Action action, Subject subject, JsonNode node, List<Entry> entries) {
        String listPath = action.field() + "." + subject.field();
        if (node == null) {
            return;
        }
        if (!node.isArray()) {
            errors.add(new NoteError(listPath, Kind.WRONG_TYPE, "must be an array"));
            return;
        }
        for (int i = 0; i < node.size(); i++) {
            parseEntry(listPath + "[" + i + "]", action, subject, node.get(i)).ifPresent(entries::add);
        }
    }

    private Optional<Entry> parseEntry(String path, Action action, Subject subject, JsonNode node) {
        ObjectNode fields = entryFields(action, subject, node);
        if (fields == null) {
            String expected = action == Action.WITHDRAW ? "must be a name" : "must be an object";
            errors.add(new NoteError(path, Kind.WRONG_TYPE, expected));
            return Optional.empty();
        }
        JsonNode name = fields.get(subject.nameField());
        if (name == null || !name.isTextual() || name.asText().isEmpty()) {
            errors.add(new NoteError(path + "." + subject.nameField(), Kind.MISSING, "an entry must have a name"));
            return Optional.empty();
        }
        return Optional.of(new Entry(path, action, subject, name.asText(), fields));
    }

    private static ObjectNode entryFields(Action action, Subject subject, JsonNode node) {
        if (action != Action.WITHDRAW) {
            return node instanceof ObjectNode object ? object : null;
        }
        return node.isTextual() ? JsonCodec.mapper().createObjectNode().put(subject.nameField(), node.asText()) : null;
    }

    private void rejectUnknownFields(String prefix, ObjectNode object, Set<String> knownFields) {
        for (Iterator<String> names = object.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!knownFields.contains(name)) {
                errors.add(new NoteError(prefix + name, Kind.UNKNOWN_FIELD, "known fields: " + sorted(knownFields)));
            }
        }
    }

    private static List<String> sorted(Set<String> names) {
        return names.stream().sorted().toList();
    }
}
