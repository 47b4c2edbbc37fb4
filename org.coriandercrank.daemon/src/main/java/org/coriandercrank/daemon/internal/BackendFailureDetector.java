package org.coriandercrank.daemon.internal;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.backend.ProbeResult;

/**
 * Detects from probe results that a backend server has failed, so that its ranges are moved to other servers.
 *
 * <p>A state machine whose methods take the current time as an argument; not thread safe. Silence is measured from the
 * first probe without an answer, so a suspension of the daemon does not count as silence of the server.
 */
final class BackendFailureDetector {
    /** Reason for which a server counts as failed. */
    enum Failure {
        /** No process listens at the address of the server, so it has ended. */
        CONNECTIONS_REFUSED,
        /** The server does not answer; it may be running and hold its ranges until their grants expire. */
        SILENT;

        /** Returns the name for the log. */
        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** A server whose port refuses connections for this long has failed; a restart takes less. */
    private static final long REFUSED_TIMEOUT_MS = 1_000;

    /**
     * Long enough for two more probes without an answer. The ranges must be served again within 5 s.
     */
    private static final long SILENCE_TIMEOUT_MS = 1_200;

    private final boolean honoursValidity;
    private OptionalLong refusedSinceNanos = OptionalLong.empty();
    private OptionalLong silentSinceNanos = OptionalLong.empty();

    /**
     * Creates the detector for a server that was just announced.
     *
     * @param honoursValidity whether the server stops serving when its grant expires; otherwise silence is not a
     *     failure, because the server may still serve its ranges
     */
    BackendFailureDetector(boolean honoursValidity) {
        this.honoursValidity = honoursValidity;
    }

    /** Records that the server announced itself, which ends any silence and refusal. */
    void onAnnounced() {
        refusedSinceNanos = OptionalLong.empty();
        silentSinceNanos = OptionalLong.empty();
    }

    /** Records the result of a probe; returns the failure if the server has failed. */
    Optional<Failure> onProbeResult(ProbeResult result, long nowNanos) {
        switch (result) {
            case ANSWERED -> onAnnounced();
            case REFUSED -> refusedSinceNanos = OptionalLong.of(refusedSinceNanos.orElse(nowNanos));
            case SILENT -> silentSinceNanos = OptionalLong.of(silentSinceNanos.orElse(nowNanos));
        }
        if (hasElapsed(refusedSinceNanos, REFUSED_TIMEOUT_MS, nowNanos)) {
            return Optional.of(Failure.CONNECTIONS_REFUSED);
        }
        return honoursValidity && hasElapsed(silentSinceNanos, SILENCE_TIMEOUT_MS, nowNanos)
                ? Optional.of(Failure.SILENT)
                : Optional.empty();
    }

    private static boolean hasElapsed(OptionalLong sinceNanos, long timeoutMs, long nowNanos) {
        return sinceNanos.isPresent() && nowNanos - sinceNanos.getAsLong() >= TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    }
}
