package org.coriandercrank.standin.internal;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.coriandercrank.kernel.time.MonotonicClock;

/** The faults in force, at most one of each kind. Not thread safe; confined to the duty of its stand-in. */
public final class FaultInjector {
    private record Active(Fault fault, long endsAtMs, int hitsLeft) {}

    private final Map<FaultKind, Active> active = new EnumMap<>(FaultKind.class);
    private final MonotonicClock clock;
    private final SplittableRandom random;

    public FaultInjector(MonotonicClock clock, long seed) {
        this.clock = clock;
        this.random = new SplittableRandom(seed);
    }

    /** Adds a fault in place of one of the same kind; {@link FaultKind#UP} removes all. */
    public void add(Fault fault) {
        if (fault.kind() == FaultKind.UP) {
            active.clear();
            return;
        }
        long endsAtMs = fault.durationMs() == 0 ? Long.MAX_VALUE : clock.nowMs() + fault.durationMs();
        active.put(fault.kind(), new Active(fault, endsAtMs, fault.count()));
    }

    /** The fault of a kind if it hits the present call; uses up one hit of a counted fault. */
    public Optional<Fault> trigger(FaultKind kind) {
        Active entry = active.get(kind);
        if (entry == null) {
            return Optional.empty();
        }
        if (clock.nowMs() >= entry.endsAtMs) {
            active.remove(kind);
            return Optional.empty();
        }
        double probability = entry.fault.probability();
        if (probability > 0 && random.nextDouble() >= probability) {
            return Optional.empty();
        }
        if (entry.hitsLeft == 1) {
            active.remove(kind);
        } else if (entry.hitsLeft > 1) {
            active.put(kind, new Active(entry.fault, entry.endsAtMs, entry.hitsLeft - 1));
        }
        return Optional.of(entry.fault);
    }

    /** Whether the present call is hit by a fault of a kind; uses up one hit. */
    public boolean isTriggered(FaultKind kind) {
        return trigger(kind).isPresent();
    }

    public List<Fault> list() {
        active.values().removeIf(entry -> clock.nowMs() >= entry.endsAtMs);
        return active.values().stream().map(Active::fault).toList();
    }
}
