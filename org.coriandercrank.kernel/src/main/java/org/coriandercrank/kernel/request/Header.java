package org.coriandercrank.kernel.request;

/** One HTTP header field; the name is in lower case. Immutable. */
public record Header(String name, String value) {
    public Header {
        if (name == null || name.isEmpty() || value == null) {
            throw new IllegalArgumentException("header needs a name and a value");
        }
    }
}
