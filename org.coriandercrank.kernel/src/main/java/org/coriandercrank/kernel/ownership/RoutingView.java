package org.coriandercrank.kernel.ownership;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Read access to the control objects that this daemon knows. Thread safe. */
public interface RoutingView {
    /** The newest snapshot; no object in it ever goes back to an older revision. */
    RoutingSnapshot current();

    /** Calls the listener with each new snapshot, on the control thread; it must not block. */
    void subscribe(Consumer<RoutingSnapshot> listener);

    /**
     * The first snapshot, from the current one on, that satisfies a condition; fails with {@code CALL_TIMEOUT} after
     * the wait.
     */
    CompletableFuture<RoutingSnapshot> await(Predicate<RoutingSnapshot> condition, long waitMs);
}
