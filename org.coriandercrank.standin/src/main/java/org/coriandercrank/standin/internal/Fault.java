package org.coriandercrank.standin.internal;

/**
 * A fault as submitted to {@code POST /admin/faults}. Immutable.
 *
 * @param durationMs time after which the fault ends; 0 for no time limit
 * @param delayMs delay for {@link FaultKind#SLOW} and {@link FaultKind#DELAYED_WRITE}
 * @param probability probability with which a request is affected; 0 means that every request is
 * @param count number of affected requests after which the fault ends; 0 for no limit
 */
public record Fault(FaultKind kind, long durationMs, long delayMs, double probability, int count) {
    public Fault {
        if (kind == null) {
            throw new IllegalArgumentException("kind is required");
        }
        if (durationMs < 0 || delayMs < 0 || count < 0 || !(probability >= 0 && probability <= 1)) {
            throw new IllegalArgumentException("durationMs, delayMs, count and probability must be in range");
        }
    }
}
