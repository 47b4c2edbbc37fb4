package org.coriandercrank.kernel.ownership;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Read access to the control objects that this daemon knows. Thread safe. */
public interface RoutingView {
    /**
     * The latest snapshot. No object in it is ever replaced by an older revision. When the store returns from an older
     * copy, newer tables and the configuration in force are kept, and members without a record for some seconds.
     */
    RoutingSnapshot current();

    /** The latest era of the store that the store or another daemon has named; it never decreases. */
    default StoreEra storeEra() {
        return StoreEra.NONE;
    }

    /** Calls the listener with each new snapshot, on the control thread; the listener must not block. */
    void subscribe(Consumer<RoutingSnapshot> listener);

    /**
     * Completes with the first snapshot, starting with the current one, that satisfies a condition; fails with {@code
     * CALL_TIMEOUT} after {@code waitMs} milliseconds.
     */
    CompletableFuture<RoutingSnapshot> await(Predicate<RoutingSnapshot> condition, long waitMs);
}
