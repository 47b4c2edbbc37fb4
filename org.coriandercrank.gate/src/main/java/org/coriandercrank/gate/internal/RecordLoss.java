package org.coriandercrank.gate.internal;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.request.CallerRequest;

/** Decides whether the outcome record of an earlier attempt may be missing. Not thread safe. */
final class RecordLoss {
    private final GateRuntime runtime;
    private final RangeTable ranges;
    private Horizon unkeyedHorizon;
    private Horizon unkeyedDropHorizon = Horizon.UNLIMITED;

    RecordLoss(GateRuntime runtime, RangeTable ranges) {
        this.runtime = runtime;
        this.ranges = ranges;
        unkeyedHorizon = Horizon.since(runtime.nowNanos());
    }

    /** A record of a service that is not divided by key was dropped. */
    void moveUnkeyedHorizon(long sinceNanos) {
        unkeyedHorizon = unkeyedHorizon.later(Horizon.since(sinceNanos));
        unkeyedDropHorizon = unkeyedDropHorizon.later(Horizon.since(sinceNanos));
    }

    /**
     * Whether an earlier attempt may have run and left no record. The stated age is extended by the time that the
     * request travelled. A stated age of 0 is a first attempt, or a repeat within less than a millisecond; for it only
     * dropped records matter, so that first attempts are admitted right after a takeover.
     */
    boolean isPossible(CallerRequest request, ServiceConfig rules, KeyHash hash, long nowNanos) {
        Optional<RangeEntry> entry = ranges.serving(hash);
        if (request.idempotencyKey().isEmpty() || (rules.keyed() && entry.isEmpty())) {
            return false;
        }
        Horizon horizon = rules.keyed() ? entry.get().horizon() : unkeyedHorizon;
        Horizon dropHorizon = rules.keyed() ? entry.get().dropHorizon() : unkeyedDropHorizon;
        OptionalLong ageMs = request.idempotencyKeyAgeMs();
        if (ageMs.isEmpty()) {
            return !horizon.unlimited();
        }
        long boundedAgeMs = Math.min(ageMs.getAsLong(), Integer.MAX_VALUE)
                + runtime.options().keyAgeMarginMs();
        long firstAttemptNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(boundedAgeMs);
        return !(ageMs.getAsLong() == 0 ? dropHorizon : horizon).covers(firstAttemptNanos);
    }
}
