package org.coriandercrank.peer.internal;

import java.util.concurrent.TimeUnit;
import org.coriandercrank.peer.PeerOptions;

/**
 * Decides when a connection that owes an answer has been silent for too long.
 *
 * <p>Invariant: time in which the periodic checks did not run as planned does not count as silence, because frames that
 * arrived meanwhile may wait unread. Not thread safe; the current time is passed as an argument.
 */
final class SilenceDetector {
    /** What to do after a check. */
    enum Action {
        NONE,
        PING,
        CLOSE
    }

    private final long checkPeriodNanos;
    private final long pingAfterNanos;
    private final long timeoutNanos;
    private long silentSinceNanos;
    private long lastCheckNanos;
    private boolean pingSent;

    /** @param checkPeriodMs planned interval between checks */
    SilenceDetector(PeerOptions options, long checkPeriodMs) {
        checkPeriodNanos = TimeUnit.MILLISECONDS.toNanos(checkPeriodMs);
        pingAfterNanos = TimeUnit.MILLISECONDS.toNanos(options.pingAfterSilenceMs());
        timeoutNanos = TimeUnit.MILLISECONDS.toNanos(options.silenceTimeoutMs());
    }

    /** Notes that checks take place from now on, the first one after the check period. */
    void startChecks(long nowNanos) {
        lastCheckNanos = nowNanos;
    }

    /** Starts the silence anew: a frame arrived, or an answer is due again after none was. */
    void restart(long nowNanos) {
        silentSinceNanos = nowNanos;
        pingSent = false;
    }

    /** Returns the duration of the silence without pauses of the checks. */
    long silentMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - silentSinceNanos);
    }

    /**
     * Evaluates the silence.
     *
     * @param mayPing whether a ping can be sent; it is reported once in a silence
     */
    Action check(long nowNanos, boolean mayPing) {
        long latenessNanos = nowNanos - lastCheckNanos - checkPeriodNanos;
        if (latenessNanos > checkPeriodNanos) {
            silentSinceNanos = Math.min(nowNanos, silentSinceNanos + latenessNanos);
        }
        lastCheckNanos = nowNanos;
        long silentNanos = nowNanos - silentSinceNanos;
        if (silentNanos >= timeoutNanos) {
            return Action.CLOSE;
        }
        if (silentNanos >= pingAfterNanos && mayPing && !pingSent) {
            pingSent = true;
            return Action.PING;
        }
        return Action.NONE;
    }
}
