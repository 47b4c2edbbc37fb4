package org.coriandercrank.ingress;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.ownership.ConfigurationProof;

/** A proof that is always recent, unless a test completes the confirmation itself. Thread safe. */
final class FakeConfigurationProof implements ConfigurationProof {
    private volatile CompletableFuture<Boolean> confirmation = CompletableFuture.completedFuture(true);

    /** Makes requests wait for the confirmation that the returned future completes. */
    CompletableFuture<Boolean> expire() {
        CompletableFuture<Boolean> pending = new CompletableFuture<>();
        confirmation = pending;
        return pending;
    }

    @Override
    public OptionalLong ageMs() {
        return confirmation.isDone() ? OptionalLong.of(0) : OptionalLong.empty();
    }

    @Override
    public CompletableFuture<Boolean> confirm(long maxAgeMs) {
        return confirmation;
    }
}
