package org.coriandercrank.gate.internal;

import java.util.concurrent.TimeUnit;

/**
 * Time since when outcome records are complete. Immutable.
 *
 * @param unlimited whether no record can be missing; {@code sinceNanos} is then without meaning
 * @param sinceNanos monotonic time
 */
public record RecordHorizon(boolean unlimited, long sinceNanos) {
    public static final RecordHorizon UNLIMITED = new RecordHorizon(true, 0);

    public static RecordHorizon startingAt(long startNanos) {
        return new RecordHorizon(false, startNanos);
    }

    /** Horizon of records that reach back a number of milliseconds; {@link Long#MAX_VALUE} means without limit. */
    public static RecordHorizon completeFor(long nowNanos, long completeForMs) {
        return completeForMs == Long.MAX_VALUE
                ? UNLIMITED
                : startingAt(nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.min(completeForMs, Integer.MAX_VALUE)));
    }

    /** The one of two horizons that claims less. */
    public RecordHorizon later(RecordHorizon other) {
        if (unlimited) {
            return other;
        }
        return other.unlimited || sinceNanos - other.sinceNanos > 0 ? this : other;
    }

    /** The one of two horizons that claims more. */
    public RecordHorizon earlier(RecordHorizon other) {
        return later(other).equals(this) ? other : this;
    }

    /** Whether a first attempt at a time would have left a record. */
    public boolean covers(long attemptedAtNanos) {
        return unlimited || attemptedAtNanos - sinceNanos > 0;
    }

    /** How far back the records are complete; {@link Long#MAX_VALUE} without limit. */
    public long completeForMs(long nowNanos) {
        return unlimited ? Long.MAX_VALUE : Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos));
    }
}
