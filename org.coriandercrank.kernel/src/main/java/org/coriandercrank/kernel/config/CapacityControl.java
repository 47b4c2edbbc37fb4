package org.coriandercrank.kernel.config;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** How a gate determines the number of requests that its backend server can execute at a time. */
public enum CapacityControl {
    /** Each refusal by the server counts as overload. */
    REFUSALS("refusals"),
    /** A refusal counts as overload only if the load that was measured or stated at that time explains it. */
    MEASURED("measured");

    private final String text;

    CapacityControl(String text) {
        this.text = text;
    }

    /**
     * Parses the value that release notes and the stored configuration use.
     *
     * @throws IllegalArgumentException if no capacity control has this value
     */
    @JsonCreator
    public static CapacityControl parse(String text) {
        return Arrays.stream(values())
                .filter(control -> control.text.equals(text))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown capacity control: " + text));
    }

    /** Value in release notes and in the stored configuration. */
    @JsonValue
    public String text() {
        return text;
    }

    @Override
    public String toString() {
        return text;
    }
}
