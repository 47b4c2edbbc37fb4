package org.coriandercrank.kernel.ownership;

/** The lease of this daemon. Thread safe; cheap enough to be read before each request. */
@FunctionalInterface
public interface LeaseView {
    /** Monotonic time in nanoseconds until which the lease holds; in the past if it does not. */
    long validUntilNanos();

    /** Whether the lease holds at a monotonic time. */
    default boolean isValid(long nowNanos) {
        return validUntilNanos() - nowNanos > 0;
    }
}
