package org.coriandercrank.standin.internal;

/**
 * A fault as submitted to {@code POST /admin/faults}. Immutable.
 *
 * @param durationMs time after which the fault ends; 0 for no time limit, with {@link FaultKind#OLDER_COPY} for an
 *     immediate return
 * @param delayMs delay for {@link FaultKind#SLOW} and {@link FaultKind#DELAYED_WRITE}; age of the copy for {@link
 *     FaultKind#OLDER_COPY}
 * @param probability probability with which a request is affected; 0 means that every request is
 * @param count number of affected requests after which the fault ends; 0 for no limit
 * @param rewriteMs time from an {@link FaultKind#OLDER_COPY} to the repetition of the operator's lost writes; 0 for never
 */
public record Fault(FaultKind kind, long durationMs, long delayMs, double probability, int count, long rewriteMs) {
    public Fault {
        if (kind == null) {
            throw new IllegalArgumentException("kind is required");
        }
        if (durationMs < 0 || delayMs < 0 || count < 0 || rewriteMs < 0 || !(probability >= 0 && probability <= 1)) {
            throw new IllegalArgumentException(
                    "durationMs, delayMs, count, rewriteMs and probability must be in range");
        }
    }
}
