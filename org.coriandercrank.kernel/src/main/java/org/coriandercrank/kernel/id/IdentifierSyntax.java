package org.coriandercrank.kernel.id;

/** Syntax check for names and ids. Stateless. */
final class IdentifierSyntax {
    private IdentifierSyntax() {}

    /** Throws {@link IllegalArgumentException} unless the value has 1 to {@code maxLength} allowed characters. */
    static void check(String description, String value, int maxLength) {
        if (value == null || value.isEmpty() || value.length() > maxLength) {
            throw new IllegalArgumentException(description + " must have 1 to " + maxLength + " characters");
        }
        for (int i = 0; i < value.length(); i++) {
            if (!isAllowed(value.charAt(i))) {
                throw new IllegalArgumentException(
                        description + " has a character outside [A-Za-z0-9._-] at position " + i);
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
