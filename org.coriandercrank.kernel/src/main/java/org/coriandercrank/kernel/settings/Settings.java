package org.coriandercrank.kernel.settings;

/** A bean whose fields carry args4j options; each option takes exactly one value. */
public interface Settings {
    /** Adds a fault for each field that is missing or out of range. */
    void validate(ValidationErrors faults);
}
