package org.coriandercrank.kernel.request;

/** One HTTP header field. The name is in lower case. Immutable. */
public record Header(String name, String value) {
    public Header {
        if (name == null || name.isEmpty() || value == null) {
            throw new IllegalArgumentException("a header requires a name and a value");
        }
    }
}
