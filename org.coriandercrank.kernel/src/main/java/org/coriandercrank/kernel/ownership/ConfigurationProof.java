package org.coriandercrank.kernel.ownership;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * What a daemon knows about how recent its configuration is. Who answers that something is not in the configuration
 * relies on it being the newest one. Thread safe.
 */
public interface ConfigurationProof {
    /** The proof of a daemon whose configuration cannot change. */
    ConfigurationProof ALWAYS_CURRENT = new ConfigurationProof() {
        @Override
        public OptionalLong ageMs() {
            return OptionalLong.of(0);
        }

        @Override
        public CompletableFuture<Boolean> confirm(long maxAgeMs) {
            return CompletableFuture.completedFuture(true);
        }
    };

    /**
     * Returns the time in milliseconds since the configuration in force was known to be the newest; empty if it never
     * was. If another daemon provided the news, the time that they took is not included.
     */
    OptionalLong ageMs();

    /**
     * Makes sure that the configuration in force has every version that was confirmed more than {@code maxAgeMs}
     * milliseconds ago, by a read of the store if necessary.
     *
     * @return completes with false if the store did not answer; a failed future has the code {@code OVERLOADED}
     */
    CompletableFuture<Boolean> confirm(long maxAgeMs);
}
