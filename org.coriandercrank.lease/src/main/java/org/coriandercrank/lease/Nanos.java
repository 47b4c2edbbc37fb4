package org.coriandercrank.lease;

/** Comparison of monotonic times by difference, which stays correct when the clock value overflows. Stateless. */
final class Nanos {
    private Nanos() {}

    static long earlier(long first, long second) {
        return first - second < 0 ? first : second;
    }

    static long later(long first, long second) {
        return first - second > 0 ? first : second;
    }

    static int compare(long first, long second) {
        return Long.signum(first - second);
    }
}
