package org.coriandercrank.daemon;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Tells a server that lives, although its start time or its sequence is below one that was seen before, from a server that
 * has ended and whose heartbeats arrive late: only the former goes on with its heartbeats.
 *
 * <p>A clock that steps back lets a server start at an earlier time than the one before it. Not thread safe.
 */
final class OutdatedHeartbeats {
    private final long persistenceNanos;
    private Optional<ServerIncarnation> sender = Optional.empty();
    private long sinceNanos;
    private long latestNanos;
    private long latestSequence;

    /** @param persistenceMs time for which heartbeats must go on */
    OutdatedHeartbeats(long persistenceMs) {
        persistenceNanos = TimeUnit.MILLISECONDS.toNanos(persistenceMs);
    }

    /** Adds a heartbeat. One that arrives after a later one of its sender has no effect. */
    void add(ServerIncarnation server, long sequence, long arrivedNanos) {
        boolean sameSender = sender.equals(Optional.of(server)) && arrivedNanos - latestNanos < persistenceNanos;
        if (sameSender && sequence <= latestSequence) {
            return;
        }
        if (!sameSender) {
            sender = Optional.of(server);
            sinceNanos = arrivedNanos;
        }
        latestNanos = arrivedNanos;
        latestSequence = sequence;
    }

    /** Whether the heartbeats of a sender have gone on for the required time with rising sequence and no long pause. */
    boolean havePersisted(ServerIncarnation server) {
        return sender.equals(Optional.of(server)) && latestNanos - sinceNanos >= persistenceNanos;
    }
}
