package org.coriandercrank.gate.internal;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.request.CallerRequest;

/**
 * Detects requests with an idempotency key for which the outcome record of an earlier attempt may be missing. Not
 * thread safe.
 */
final class RecordLossDetector {
    private final GateContext context;
    private final RangeTable ranges;
    private RecordHorizon unkeyedHorizon;
    private RecordHorizon unkeyedRemovalHorizon = RecordHorizon.UNLIMITED;

    RecordLossDetector(GateContext context, RangeTable ranges) {
        this.context = context;
        this.ranges = ranges;
        unkeyedHorizon = RecordHorizon.startingAt(context.nowNanos());
    }

    /** Advances the horizons of an unkeyed service to the creation time of a removed record. */
    void advanceUnkeyedHorizons(long sinceNanos) {
        unkeyedHorizon = unkeyedHorizon.later(RecordHorizon.startingAt(sinceNanos));
        unkeyedRemovalHorizon = unkeyedRemovalHorizon.later(RecordHorizon.startingAt(sinceNanos));
    }

    /**
     * Whether an earlier attempt may have run although this gate has no record of it.
     *
     * <p>The stated age of the idempotency key is increased by an upper bound of the time that the request travelled. A
     * stated age of 0 means a first attempt, or a retry within less than a millisecond. For it only removed records
     * matter, so that first attempts are admitted right after a takeover.
     */
    boolean mayHaveLostRecord(CallerRequest request, ServiceConfig config, KeyHash hash, long nowNanos) {
        Optional<RangeEntry> entry = ranges.serving(hash);
        if (request.idempotencyKey().isEmpty() || (config.keyed() && entry.isEmpty())) {
            return false;
        }
        RecordHorizon recordHorizon = config.keyed() ? entry.get().recordHorizon() : unkeyedHorizon;
        RecordHorizon removalHorizon = config.keyed() ? entry.get().removalHorizon() : unkeyedRemovalHorizon;
        OptionalLong ageMs = request.idempotencyKeyAgeMs();
        if (ageMs.isEmpty()) {
            return !recordHorizon.unlimited();
        }
        long maxAgeMs = Math.min(ageMs.getAsLong(), Integer.MAX_VALUE)
                + context.options().keyAgeMarginMs();
        long earliestAttemptNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(maxAgeMs);
        return !(ageMs.getAsLong() == 0 ? removalHorizon : recordHorizon).covers(earliestAttemptNanos);
    }
}
