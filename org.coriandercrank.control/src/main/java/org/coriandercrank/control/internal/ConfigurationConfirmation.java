package org.coriandercrank.control.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.ownership.ConfigurationProof;
import org.coriandercrank.kernel.store.WatchBatch;

/**
 * Knows until when the configuration in force was the newest, and reads it from the store when a caller must know.
 *
 * <p>Invariant: at most one read is outstanding; requests that wait at the same time share it. {@link #ageMs} and {@link
 * #confirm} are thread safe; the other methods must be called on the control thread.
 */
final class ConfigurationConfirmation implements ConfigurationProof {
    private static final long NEVER = Long.MIN_VALUE;

    /** A store that does not answer is not read again within this time. */
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A daemon that peers inform hears of a later position at shorter intervals. */
    private static final long MAX_NEWS_GAP_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final ControlContext context;
    private final BiConsumer<StoreCall, WatchBatch> readListener;
    private final Runnable failureListener;
    private final List<CompletableFuture<Boolean>> waiting = new ArrayList<>();
    private boolean reading;
    private volatile long provenNanos = NEVER;
    private long informedNanos = NEVER;
    private volatile long failedNanos = NEVER;

    /**
     * @param readListener applies a listing that was read, before those who wait for it are told
     * @param failureListener called after a read without an answer
     */
    ConfigurationConfirmation(
            ControlContext context, BiConsumer<StoreCall, WatchBatch> readListener, Runnable failureListener) {
        this.context = context;
        this.readListener = readListener;
        this.failureListener = failureListener;
    }

    /** Notes that the configuration in force was the newest at a time of the clock of the timers. */
    void proven(long nanos) {
        if (provenNanos == NEVER || nanos - provenNanos > 0) {
            provenNanos = nanos;
        }
    }

    /**
     * Notes that a peer was ahead. After a long time without news, the first peer that is ahead may itself be far behind
     * others, so it takes a second one.
     */
    void informedByPeer(long nanos) {
        boolean continuous = isWithin(provenNanos, MAX_NEWS_GAP_NANOS) || isWithin(informedNanos, MAX_NEWS_GAP_NANOS);
        informedNanos = nanos;
        if (continuous) {
            proven(nanos);
        }
    }

    @Override
    public OptionalLong ageMs() {
        long nanos = provenNanos;
        return nanos == NEVER
                ? OptionalLong.empty()
                : OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(Math.max(0, context.nowNanos() - nanos)));
    }

    @Override
    public CompletableFuture<Boolean> confirm(long maxAgeMs) {
        if (isWithin(provenNanos, TimeUnit.MILLISECONDS.toNanos(maxAgeMs))) {
            return CompletableFuture.completedFuture(true);
        }
        if (isWithin(failedNanos, RETRY_NANOS)) {
            return CompletableFuture.completedFuture(false);
        }
        return context.submit(() -> confirmOnControlThread(maxAgeMs)).thenCompose(result -> result);
    }

    private boolean isWithin(long nanos, long limitNanos) {
        return nanos != NEVER && context.nowNanos() - nanos <= limitNanos;
    }

    private CompletableFuture<Boolean> confirmOnControlThread(long maxAgeMs) {
        if (isWithin(provenNanos, TimeUnit.MILLISECONDS.toNanos(maxAgeMs))) {
            return CompletableFuture.completedFuture(true);
        }
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        waiting.add(result);
        if (!reading) {
            read();
        }
        return result;
    }

    private void read() {
        reading = true;
        long timeoutMs = context.options().storeTimeoutMs();
        StoreCall call = new StoreCall(true, context.nowNanos(), 0, timeoutMs, timeoutMs);
        context.callWithTimeout(
                () -> context.dependencies().store().list(ClusterView.prefix(FetchObject.Kind.CONFIGURATION)),
                timeoutMs,
                (listing, failure) -> {
                    reading = false;
                    context.log(() -> "event=configuration-confirmed success=" + (failure == null) + " waiting="
                            + waiting.size());
                    if (failure == null) {
                        failedNanos = NEVER;
                        readListener.accept(call, new WatchBatch(listing.upTo(), listing.changes(), true));
                    } else {
                        failedNanos = context.nowNanos();
                        failureListener.run();
                    }
                    List<CompletableFuture<Boolean>> told = List.copyOf(waiting);
                    waiting.clear();
                    told.forEach(result -> result.complete(failure == null));
                });
    }
}
