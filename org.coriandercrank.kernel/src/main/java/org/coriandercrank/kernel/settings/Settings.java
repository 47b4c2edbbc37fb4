package org.coriandercrank.kernel.settings;

/** Settings of a program. The fields of an implementation have args4j options; each option has exactly one value. */
public interface Settings {
    /** Adds an error for each field that is missing or out of range. */
    void validate(ValidationErrors errors);
}
