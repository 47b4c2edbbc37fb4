package org.coriandercrank.kernel.time;

import java.util.concurrent.Executor;

/**
 * The only source of delayed and periodic tasks. Thread safe. Tasks run on the executor of the subscriber, normally a
 * {@link org.coriandercrank.kernel.concurrent.SerialExecutor}.
 */
public interface TimerService extends AutoCloseable {
    /** An active subscription. */
    @FunctionalInterface
    interface Subscription {
        /** Prevents further runs; a run that is already queued may still take place. */
        void cancel();
    }

    MonotonicClock clock();

    /** Runs a task periodically. A run is skipped while the previous one is still queued. */
    Subscription every(long periodMs, Executor executor, Runnable task);

    /** Runs a task once after a delay. */
    Subscription once(long delayMs, Executor executor, Runnable task);

    @Override
    void close();
}
