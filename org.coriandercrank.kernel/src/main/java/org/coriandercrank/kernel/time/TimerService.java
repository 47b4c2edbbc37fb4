package org.coriandercrank.kernel.time;

import java.util.concurrent.Executor;

/**
 * The only source of timed work; parts subscribe to it. Thread safe. Callbacks run on the executor of the subscriber,
 * normally a {@link org.coriandercrank.kernel.concurrent.SingleThreadExecutor}.
 */
public interface TimerService extends AutoCloseable {
    /** A running subscription. */
    @FunctionalInterface
    interface Subscription {
        /** Stops further callbacks; one that is already queued may still run. */
        void cancel();
    }

    MonotonicClock clock();

    /** Runs a task again and again. A run is left out while the previous one is still queued. */
    Subscription every(long periodMs, Executor executor, Runnable task);

    /** Runs a task once after a delay. */
    Subscription once(long delayMs, Executor executor, Runnable task);

    @Override
    void close();
}
