package org.coriandercrank.lease;

/** Compares monotonic times by their difference, which is correct even if the clock value overflows. Stateless. */
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
