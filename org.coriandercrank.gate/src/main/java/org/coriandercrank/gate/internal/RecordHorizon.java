package org.coriandercrank.gate.internal;

import java.util.concurrent.TimeUnit;

/**
 * Earliest monotonic time since which the outcome records of a range are complete. Immutable.
 *
 * @param unlimited whether no record can be missing; {@code sinceNanos} is ignored in this case
 * @param sinceNanos monotonic time in nanoseconds
 */
public record RecordHorizon(boolean unlimited, long sinceNanos) {
    /** Horizon of records of which none can be missing. */
    public static final RecordHorizon UNLIMITED = new RecordHorizon(true, 0);

    /** Creates the horizon of records that are complete after a monotonic time. */
    public static RecordHorizon startingAt(long startNanos) {
        return new RecordHorizon(false, startNanos);
    }

    /** Creates the horizon of records that are complete for a past time; {@link Long#MAX_VALUE} means unlimited. */
    public static RecordHorizon completeFor(long nowNanos, long completeForMs) {
        return completeForMs == Long.MAX_VALUE
                ? UNLIMITED
                : startingAt(nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.min(completeForMs, Integer.MAX_VALUE)));
    }

    /** Returns the more recent of two horizons; any other horizon is more recent than the unlimited one. */
    public RecordHorizon later(RecordHorizon other) {
        if (unlimited) {
            return other;
        }
        return other.unlimited || sinceNanos - other.sinceNanos > 0 ? this : other;
    }

    /** Returns the older of two horizons; the unlimited one is older than any other. */
    public RecordHorizon earlier(RecordHorizon other) {
        return later(other).equals(this) ? other : this;
    }

    /** Whether an execution at a time has certainly left a record. */
    public boolean covers(long attemptedAtNanos) {
        return unlimited || attemptedAtNanos - sinceNanos > 0;
    }

    /** Time in milliseconds for which the records are complete; {@link Long#MAX_VALUE} if unlimited. */
    public long completeForMs(long nowNanos) {
        return unlimited ? Long.MAX_VALUE : Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos));
    }
}
