package org.coriandercrank.control.internal;

/**
 * Decides when a daemon watches a kind of object itself because no relay informs it. Each kind is judged by its own
 * position. Control thread only.
 */
final class FallbackPolicy {
    /** The daemon with rank 1 starts a fallback watch after this many watch waits without an advance of its digest. */
    private static final double FALLBACK_AFTER_WAITS = 2.5;

    /** A fallback watch is no longer needed if a peer advanced the digest within this many watch waits. */
    private static final int FALLBACK_PEER_SILENCE_WAITS = 2;

    /** Additional watch waits before a fallback watch, for each rank above 1. */
    private static final double EXTRA_WAITS_PER_RANK = 1;

    /**
     * Up to this rank, the wait depends on the rank alone. Daemons of higher ranks wait longer, by a random number of
     * watch waits.
     */
    private static final int MAX_FALLBACK_RANK = 8;

    private static final long NANOS_PER_MS = 1_000_000;

    private final ControlContext context;
    private final int rankOffset;

    FallbackPolicy(ControlContext context) {
        this.context = context;
        rankOffset = context.random().nextInt(MAX_FALLBACK_RANK);
    }

    /**
     * Whether the digest has not advanced for so long that this daemon must watch the store. The wait grows with the
     * rank. Beyond the largest rank it has a random part, so that not all daemons of a large cluster start to watch
     * together.
     */
    boolean isDue(KindSync sync, int rank, long nowNanos) {
        int rankSteps = rank <= MAX_FALLBACK_RANK ? rank - 1 : MAX_FALLBACK_RANK + rankOffset;
        double waits = FALLBACK_AFTER_WAITS + EXTRA_WAITS_PER_RANK * Math.max(0, rankSteps);
        return nowNanos - sync.lastAdvanceNanos() > waits * context.options().watchWaitMs() * NANOS_PER_MS;
    }

    /** Whether peers have not advanced the digest recently, so that this daemon still has to watch the store. */
    boolean isStillNeeded(KindSync sync, long nowNanos) {
        return nowNanos - sync.lastPeerAdvanceNanos()
                > FALLBACK_PEER_SILENCE_WAITS * context.options().watchWaitMs() * NANOS_PER_MS;
    }
}
