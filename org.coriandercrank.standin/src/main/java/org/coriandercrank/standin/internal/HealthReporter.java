package org.coriandercrank.standin.internal;

import java.util.Optional;
import java.util.function.Supplier;
import org.coriandercrank.kernel.backend.BackendHealth;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.time.TimerService;

/**
 * What the health and load endpoints report: the present state, a past one, or a fixed false one. Not thread safe;
 * confined to the duty of the server.
 */
final class HealthReporter {
    private static final long SAMPLE_INTERVAL_MS = 25;

    private final Supplier<BackendHealth> currentHealth;
    private final boolean hasLag;
    private Optional<BackendHealth> override = Optional.empty();
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

    /** Reports a fixed state, or the true one again if empty. */
    void override(Optional<BackendHealth> health) {
        override = health;
    }

    BackendHealth reportedHealth() {
        return override.orElseGet(() -> hasLag ? delayedHealth : currentHealth.get());
    }
}
