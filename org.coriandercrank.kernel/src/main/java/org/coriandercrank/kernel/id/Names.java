package org.coriandercrank.kernel.id;

/** Checks of names; stateless. */
final class Names {
    private Names() {}

    static void check(String what, String value, int maxLength) {
        if (value == null || value.isEmpty() || value.length() > maxLength) {
            throw new IllegalArgumentException(what + " must have 1 to " + maxLength + " characters");
        }
        for (int i = 0; i < value.length(); i++) {
            if (!isAllowed(value.charAt(i))) {
                throw new IllegalArgumentException(what + " has a character outside [A-Za-z0-9._-] at position " + i);
            }
        }
    }

    private static boolean isAllowed(char c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || c == '.'
                || c == '_'
                || c == '-';
    }
}
