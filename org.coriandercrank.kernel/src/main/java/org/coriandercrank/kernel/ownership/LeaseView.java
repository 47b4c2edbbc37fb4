package org.coriandercrank.kernel.ownership;

/** Read access to the lease of this daemon. Thread safe; cheap enough to call before each request. */
@FunctionalInterface
public interface LeaseView {
    /** Monotonic time in nanoseconds at which the lease expires; in the past if the lease is not valid. */
    long validUntilNanos();

    /** Whether the lease is valid at a monotonic time. */
    default boolean isValid(long nowNanos) {
        return validUntilNanos() - nowNanos > 0;
    }
}
