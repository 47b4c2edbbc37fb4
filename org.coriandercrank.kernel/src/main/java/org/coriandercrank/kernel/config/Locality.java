package org.coriandercrank.kernel.config;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** Which servers of a service that is not divided by key are preferred for a request. */
public enum Locality {
    /** All servers alike. */
    ANY("any"),
    /** Servers of the own region first. */
    REGION_FIRST("region-first"),
    /** Servers of the own failure domain first, then those of the own region. */
    DOMAIN_FIRST("domain-first");

    private final String text;

    Locality(String text) {
        this.text = text;
    }

    /** The locality with a text of the configuration; fails with {@link IllegalArgumentException} if there is none. */
    @JsonCreator
    public static Locality parse(String text) {
        return Arrays.stream(values())
                .filter(locality -> locality.text.equals(text))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no locality " + text));
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
