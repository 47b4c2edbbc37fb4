package org.coriandercrank.note.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.coriandercrank.kernel.config.CapacityControl;
import org.coriandercrank.kernel.config.Locality;
import org.coriandercrank.note.NoteError;
import org.coriandercrank.note.NoteError.Kind;
import org.coriandercrank.note.ReleaseNote.Subject;

/**
 * A field that an entry may have. Immutable.
 *
 * @param validator returns the violation of a value, or empty if the value is valid
 */
record FieldSpec(String name, Function<JsonNode, Optional<Violation>> validator) {
    /** An error without its path. Immutable. */
    record Violation(Kind kind, String message) {
        NoteError at(String path) {
            return new NoteError(path, kind, message);
        }
    }

    private static final int MAX_NAME_LENGTH = 64;

    private static final List<FieldSpec> SERVICE_FIELDS = List.of(
            nameField("name"),
            booleanField("keyed"),
            methodsField("repeatableMethods"),
            integerField("defaultDeadlineMs", 1, 600_000),
            integerField("maxDeadlineMs", 1, 600_000),
            integerField("maxBodyBytes", 0, 8_388_608),
            integerField("maxQueueLength", 0, 10_000),
            integerField("maxKeySharePercent", 1, 100),
            nameField("placementPolicy"),
            nameField("balancingPolicy"),
            choiceField(
                    "locality",
                    Arrays.stream(Locality.values()).map(Locality::text).toList()),
            choiceField(
                    "capacityControl",
                    Arrays.stream(CapacityControl.values())
                            .map(CapacityControl::text)
                            .toList()),
            decimalField("coldRequestsPerSecond", 0, 1_000_000));

    private static final List<FieldSpec> BACKEND_FIELDS =
            List.of(nameField("backendName"), integerField("weightPercent", 0, 1_000), booleanField("drain"));

    static List<FieldSpec> of(Subject subject) {
        return subject == Subject.SERVICE ? SERVICE_FIELDS : BACKEND_FIELDS;
    }

    private static FieldSpec nameField(String field) {
        return new FieldSpec(field, value -> {
            if (!value.isTextual()) {
                return violation(Kind.WRONG_TYPE, "must be a string");
            }
            boolean valid = value.asText().matches("[A-Za-z0-9._-]{1," + MAX_NAME_LENGTH + "}");
            return valid
                    ? Optional.empty()
                    : violation(Kind.OUT_OF_RANGE, "must have 1 to " + MAX_NAME_LENGTH + " characters [A-Za-z0-9._-]");
        });
    }

    private static FieldSpec booleanField(String field) {
        return new FieldSpec(
                field,
                value -> value.isBoolean() ? Optional.empty() : violation(Kind.WRONG_TYPE, "must be true or false"));
    }

    private static FieldSpec integerField(String field, long min, long max) {
        return new FieldSpec(field, value -> {
            if (!value.isIntegralNumber()) {
                return violation(Kind.WRONG_TYPE, "must be an integer");
            }
            boolean inRange = value.canConvertToLong() && value.asLong() >= min && value.asLong() <= max;
            return inRange ? Optional.empty() : violation(Kind.OUT_OF_RANGE, "must be between " + min + " and " + max);
        });
    }

    private static FieldSpec decimalField(String field, double min, double max) {
        return new FieldSpec(field, value -> {
            if (!value.isNumber()) {
                return violation(Kind.WRONG_TYPE, "must be a number");
            }
            boolean inRange = value.doubleValue() >= min && value.doubleValue() <= max;
            return inRange ? Optional.empty() : violation(Kind.OUT_OF_RANGE, "must be between " + min + " and " + max);
        });
    }

    private static FieldSpec choiceField(String field, List<String> choices) {
        return new FieldSpec(field, value -> {
            if (!value.isTextual()) {
                return violation(Kind.WRONG_TYPE, "must be a string");
            }
            return choices.contains(value.asText())
                    ? Optional.empty()
                    : violation(Kind.OUT_OF_RANGE, "must be one of " + choices);
        });
    }

    private static FieldSpec methodsField(String field) {
        return new FieldSpec(field, value -> {
            if (!value.isArray()) {
                return violation(Kind.WRONG_TYPE, "must be an array of HTTP methods");
            }
            for (JsonNode method : value) {
                if (!method.isTextual() || !method.asText().matches("[A-Z]{1,16}")) {
                    return violation(Kind.OUT_OF_RANGE, "must be an array of HTTP methods in upper case");
                }
            }
            return Optional.empty();
        });
    }

    private static Optional<Violation> violation(Kind kind, String message) {
        return Optional.of(new Violation(kind, message));
    }
}
