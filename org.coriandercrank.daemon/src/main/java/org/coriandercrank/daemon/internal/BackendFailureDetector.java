package org.coriandercrank.daemon.internal;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.backend.ProbeResult;

/**
 * Decides from the signs of life of a backend server whether it is gone, so that its ranges go elsewhere.
 *
 * <p>A pure state machine with time as argument; not thread safe. Silence counts from the first call without an answer,
 * so a suspension of the daemon is not taken for silence of the server.
 */
final class BackendFailureDetector {
    /** A server whose port is closed for so long does not just restart. */
    private static final long REFUSED_TIMEOUT_MS = 1_000;

    /** Two more calls without an answer; a grant lapses in less, and the ranges must be served again within 5 s. */
    private static final long SILENCE_TIMEOUT_MS = 1_200;

    private final boolean honoursValidity;
    private OptionalLong refusedSinceNanos = OptionalLong.empty();
    private OptionalLong silentSinceNanos = OptionalLong.empty();

    /**
     * A server that was just announced.
     *
     * @param honoursValidity whether it stops serving when its grant lapses; otherwise its silence proves nothing, because
     *     it may go on with its ranges
     */
    BackendFailureDetector(boolean honoursValidity) {
        this.honoursValidity = honoursValidity;
    }

    /** The server announced itself. */
    void onAnnounced() {
        refusedSinceNanos = OptionalLong.empty();
        silentSinceNanos = OptionalLong.empty();
    }

    /** Takes the result of a call; returns why the server is gone, if it is. */
    Optional<String> onProbeResult(ProbeResult presence, long nowNanos) {
        switch (presence) {
            case ANSWERED -> onAnnounced();
            case REFUSED -> refusedSinceNanos = OptionalLong.of(refusedSinceNanos.orElse(nowNanos));
            case SILENT -> silentSinceNanos = OptionalLong.of(silentSinceNanos.orElse(nowNanos));
        }
        if (hasElapsed(refusedSinceNanos, REFUSED_TIMEOUT_MS, nowNanos)) {
            return Optional.of("connections-refused");
        }
        return honoursValidity && hasElapsed(silentSinceNanos, SILENCE_TIMEOUT_MS, nowNanos)
                ? Optional.of("silent")
                : Optional.empty();
    }

    private static boolean hasElapsed(OptionalLong sinceNanos, long ms, long nowNanos) {
        return sinceNanos.isPresent() && nowNanos - sinceNanos.getAsLong() >= TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
