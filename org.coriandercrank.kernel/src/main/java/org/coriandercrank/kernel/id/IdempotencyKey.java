package org.coriandercrank.kernel.id;

/**
 * Identifies an operation that must be executed at most once; the caller sends the same key with each attempt.
 *
 * <p>Immutable; 1 to 128 printable ASCII characters without spaces.
 */
public record IdempotencyKey(String value) {
    private static final int MAX_LENGTH = 128;

    public IdempotencyKey {
        if (value == null || value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("idempotency key must have 1 to " + MAX_LENGTH + " characters");
        }
        if (!value.chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new IllegalArgumentException("idempotency key must be printable ASCII without spaces");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
