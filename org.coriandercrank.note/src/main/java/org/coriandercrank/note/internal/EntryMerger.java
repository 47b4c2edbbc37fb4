package org.coriandercrank.note.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.note.NoteError;
import org.coriandercrank.note.NoteError.Kind;
import org.coriandercrank.note.ReleaseNote.Entry;

/** Merges the fields of a note entry into an object of the configuration. Stateless. */
public final class EntryMerger {
    private EntryMerger() {}

    /**
     * Returns a copy of an object with the fields of an entry, or empty if the entry is invalid.
     *
     * @param errors receives the errors of an invalid entry
     */
    public static <T> Optional<T> merge(T base, Entry entry, Class<T> type, List<NoteError> errors) {
        int errorsBefore = errors.size();
        validateFields(entry, errors);
        if (errors.size() > errorsBefore) {
            return Optional.empty();
        }
        ObjectNode merged = JsonCodec.mapper().valueToTree(base);
        merged.setAll(entry.fields());
        try {
            return Optional.of(JsonCodec.mapper().treeToValue(merged, type));
        } catch (JsonProcessingException e) {
            errors.add(new NoteError(entry.path(), Kind.OUT_OF_RANGE, rootCauseMessage(e)));
            return Optional.empty();
        }
    }

    private static void validateFields(Entry entry, List<NoteError> errors) {
        List<FieldSpec> specs = FieldSpec.of(entry.subject());
        for (Iterator<Map.Entry<String, JsonNode>> fields = entry.fields().fields(); fields.hasNext(); ) {
            Map.Entry<String, JsonNode> field = fields.next();
            String path = entry.path() + "." + field.getKey();
            Optional<FieldSpec> spec = specs.stream()
                    .filter(fieldSpec -> fieldSpec.name().equals(field.getKey()))
                    .findFirst();
            if (spec.isEmpty()) {
                List<String> knownFields = specs.stream().map(FieldSpec::name).toList();
                errors.add(new NoteError(path, Kind.UNKNOWN_FIELD, "known fields: " + knownFields));
            } else {
                spec.get().validator().apply(field.getValue()).ifPresent(violation -> errors.add(violation.at(path)));
            }
        }
    }

    private static String rootCauseMessage(Throwable failure) {
        Throwable current = failure;
        while (current.getCause() != null) {
            current = current.getCause();
        }
        return current.getMessage();
    }
}
