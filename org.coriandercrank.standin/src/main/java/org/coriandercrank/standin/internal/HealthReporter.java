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
    private static final long SAMPLE_PERIOD_MS = 25;

    private final Supplier<BackendHealth> present;
    private final boolean lagging;
    private Optional<BackendHealth> override = Optional.empty();
    private BackendHealth past;

    HealthReporter(Supplier<BackendHealth> present, long lagMs, SingleThreadExecutor executor, TimerService timers) {
        this.present = present;
        this.lagging = lagMs > 0;
        this.past = present.get();
        if (lagging) {
            timers.every(SAMPLE_PERIOD_MS, executor, () -> {
                BackendHealth sample = present.get();
                timers.once(lagMs, executor, () -> past = sample);
            });
        }
    }

    /** Reports a fixed state, or the true one again if empty. */
    void override(Optional<BackendHealth> state) {
        override = state;
    }

    BackendHealth current() {
        return override.orElseGet(() -> lagging ? past : present.get());
    }
}
