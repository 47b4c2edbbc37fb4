package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.BootId;

/**
 * Process of a witness that answers a {@link Heartbeat} which names another one. Immutable.
 *
 * @param uptimeMs time since the process started, rounded down
 */
public record WitnessBoot(BootId boot, long uptimeMs) {
    public WitnessBoot {
        if (uptimeMs < 0) {
            throw new IllegalArgumentException("uptimeMs must not be negative: " + uptimeMs);
        }
    }
}
