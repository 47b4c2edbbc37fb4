package org.coriandercrank.gate.internal;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.request.CallerRequest;

/** Decides whether the outcome record of an earlier attempt may be missing. Not thread safe. */
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

    /** A record of a service that is not divided by key was dropped. */
    void advanceUnkeyedHorizons(long sinceNanos) {
        unkeyedHorizon = unkeyedHorizon.later(RecordHorizon.startingAt(sinceNanos));
        unkeyedRemovalHorizon = unkeyedRemovalHorizon.later(RecordHorizon.startingAt(sinceNanos));
    }

    /**
     * Whether an earlier attempt may have run and left no record. The stated age is extended by the time that the
     * request travelled. A stated age of 0 is a first attempt, or a repeat within less than a millisecond; for it only
     * dropped records matter, so that first attempts are admitted right after a takeover.
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
