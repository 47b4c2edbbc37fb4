package org.coriandercrank.ingress;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.RoutingView;

/** A routing view whose snapshot is set by a test. Thread safe. */
final class FakeView implements RoutingView {
    private final List<Map.Entry<Predicate<RoutingSnapshot>, CompletableFuture<RoutingSnapshot>>> pendingWaits =
            new CopyOnWriteArrayList<>();
    private volatile RoutingSnapshot current;

    FakeView(RoutingSnapshot current) {
        this.current = current;
    }

    synchronized void set(RoutingSnapshot snapshot) {
        current = snapshot;
        for (var entry : List.copyOf(pendingWaits)) {
            if (entry.getKey().test(snapshot)) {
                pendingWaits.remove(entry);
                entry.getValue().complete(snapshot);
            }
        }
    }

    /** Number of calls of {@link #await} whose condition has not been met, including those that timed out. */
    int pendingWaits() {
        return pendingWaits.size();
    }

    @Override
    public RoutingSnapshot current() {
        return current;
    }

    @Override
    public void subscribe(Consumer<RoutingSnapshot> listener) {
        throw new UnsupportedOperationException("ingress does not subscribe");
    }

    @Override
    public synchronized CompletableFuture<RoutingSnapshot> await(Predicate<RoutingSnapshot> condition, long waitMs) {
        if (condition.test(current)) {
            return CompletableFuture.completedFuture(current);
        }
        CompletableFuture<RoutingSnapshot> result = new CompletableFuture<>();
        pendingWaits.add(Map.entry(condition, result));
        CrankException timeout = new CrankException(ResultCode.CALL_TIMEOUT, "no such snapshot in " + waitMs + " ms");
        CompletableFuture.delayedExecutor(waitMs, TimeUnit.MILLISECONDS)
                .execute(() -> result.completeExceptionally(timeout));
        return result;
    }
}
