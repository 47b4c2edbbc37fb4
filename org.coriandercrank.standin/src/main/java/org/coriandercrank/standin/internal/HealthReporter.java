package org.coriandercrank.standin.internal;

import java.util.Optional;
import java.util.function.Supplier;
import org.coriandercrank.kernel.backend.BackendHealth;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.time.TimerService;

/**
 * Provides the state for the health and load endpoints: the current one, a delayed one, or a fixed one that simulates a
 * wrong report. Not thread safe; confined to the executor of the server.
 */
final class HealthReporter {
    private static final long SAMPLE_INTERVAL_MS = 25;

    private final Supplier<BackendHealth> currentHealth;
    private final boolean hasLag;
    private Optional<BackendHealth> fixedHealth = Optional.empty();
    private BackendHealth delayedHealth;

    HealthReporter(
            Supplier<BackendHealth> currentHealth, long lagMs, SingleThreadExecutor executor, TimerService timers) {
        this.currentHealth = currentHealth;
        this.hasLag = lagMs > 0;
        this.delayedHealth = currentHealth.get();
        if (hasLag) {
            timers.every(SAMPLE_INTERVAL_MS, executor, () -> {
                BackendHealth sample = currentHealth.get();
                timers.once(lagMs, executor, () -> delayedHealth = sample);
            });
        }
    }

    /** Sets a fixed state to report, or with an empty argument reports the actual state again. */
    void setFixedHealth(Optional<BackendHealth> health) {
        fixedHealth = health;
    }

    BackendHealth reportedHealth() {
        return fixedHealth.orElseGet(() -> hasLag ? delayedHealth : currentHealth.get());
    }
}
