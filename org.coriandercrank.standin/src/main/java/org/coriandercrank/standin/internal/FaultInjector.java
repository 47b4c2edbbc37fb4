package org.coriandercrank.standin.internal;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.coriandercrank.kernel.time.MonotonicClock;

/** Holds the active faults, at most one of each kind. Not thread safe; confined to the executor of its stand-in. */
public final class FaultInjector {
    private record ActiveFault(Fault fault, long endsAtMs, int remainingCount) {}

    private final Map<FaultKind, ActiveFault> activeFaults = new EnumMap<>(FaultKind.class);
    private final MonotonicClock clock;
    private final SplittableRandom random;

    public FaultInjector(MonotonicClock clock, long seed) {
        this.clock = clock;
        this.random = new SplittableRandom(seed);
    }

    /** Adds a fault and replaces one of the same kind; {@link FaultKind#UP} removes all faults. */
    public void add(Fault fault) {
        if (fault.kind() == FaultKind.UP) {
            activeFaults.clear();
            return;
        }
        long endsAtMs = fault.durationMs() == 0 ? Long.MAX_VALUE : clock.nowMs() + fault.durationMs();
        activeFaults.put(fault.kind(), new ActiveFault(fault, endsAtMs, fault.count()));
    }

    /**
     * Returns the fault of a kind if it affects the current request; decrements the remaining count of a counted fault.
     */
    public Optional<Fault> trigger(FaultKind kind) {
        ActiveFault activeFault = activeFaults.get(kind);
        if (activeFault == null) {
            return Optional.empty();
        }
        if (clock.nowMs() >= activeFault.endsAtMs) {
            activeFaults.remove(kind);
            return Optional.empty();
        }
        double probability = activeFault.fault.probability();
        if (probability > 0 && random.nextDouble() >= probability) {
            return Optional.empty();
        }
        if (activeFault.remainingCount == 1) {
            activeFaults.remove(kind);
        } else if (activeFault.remainingCount > 1) {
            activeFaults.put(
                    kind, new ActiveFault(activeFault.fault, activeFault.endsAtMs, activeFault.remainingCount - 1));
        }
        return Optional.of(activeFault.fault);
    }

    /**
     * Returns whether a fault of a kind affects the current request; decrements the remaining count of a counted fault.
     */
    public boolean triggers(FaultKind kind) {
        return trigger(kind).isPresent();
    }

    /** Returns the active faults and removes expired ones. */
    public List<Fault> activeFaults() {
        activeFaults.values().removeIf(activeFault -> clock.nowMs() >= activeFault.endsAtMs);
        return activeFaults.values().stream().map(ActiveFault::fault).toList();
    }
}
