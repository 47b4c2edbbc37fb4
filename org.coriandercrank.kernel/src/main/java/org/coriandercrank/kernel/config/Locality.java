package org.coriandercrank.kernel.config;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** Which servers of an unkeyed service a daemon prefers for a request. */
public enum Locality {
    /** No preference. */
    ANY("any"),
    /** Servers in the region of the daemon first. */
    REGION_FIRST("region-first"),
    /** Servers in the failure domain of the daemon first, then servers in its region. */
    DOMAIN_FIRST("domain-first");

    private final String text;

    Locality(String text) {
        this.text = text;
    }

    /**
     * Parses the value that release notes and the stored configuration use.
     *
     * @throws IllegalArgumentException if no locality has this value
     */
    @JsonCreator
    public static Locality parse(String text) {
        return Arrays.stream(values())
                .filter(locality -> locality.text.equals(text))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown locality: " + text));
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
