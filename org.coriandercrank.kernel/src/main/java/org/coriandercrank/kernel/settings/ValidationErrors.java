package org.coriandercrank.kernel.settings;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

/** Collects errors in settings or input, so that all of them are reported together. Not thread safe. */
public final class ValidationErrors {
    private final List<String> messages = new ArrayList<>();

    public void add(String field, String problem) {
        messages.add(field + ": " + problem);
    }

    public void requireRange(String field, long value, long min, long max) {
        if (value < min || value > max) {
            add(field, "must be between " + min + " and " + max + ", got " + value);
        }
    }

    /** Parses a required value; adds an error and returns null if the value is missing or malformed. */
    public <T> T parse(String field, String text, Function<String, T> parser) {
        if (text == null || text.isEmpty()) {
            add(field, "is required");
            return null;
        }
        return attempt(field, () -> parser.apply(text));
    }

    /** Runs an action; adds an error and returns null if the action throws {@link IllegalArgumentException}. */
    public <T> T attempt(String field, Supplier<T> action) {
        try {
            return action.get();
        } catch (IllegalArgumentException e) {
            add(field, e.getMessage());
            return null;
        }
    }

    public boolean isEmpty() {
        return messages.isEmpty();
    }

    public List<String> messages() {
        return Collections.unmodifiableList(messages);
    }
}
