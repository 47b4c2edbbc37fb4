package org.coriandercrank.lease.test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Random series of moments at which most witnesses, and sometimes the holder, are killed. Stateless. */
final class HerdKills {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int MAX_HERD_KILLS = 12;
    private static final double WITNESS_SHARE = 0.6;
    private static final double HOLDER_RATE = 0.1;
    private static final long MAX_USUAL_RESTART_NANOS = 1_000 * NANOS_PER_MS;
    private static final long MAX_LONG_RESTART_NANOS = 6_000 * NANOS_PER_MS;

    /** A second kill that follows this soon meets a takeover that counts refusals of the processes before the first. */
    private static final long MAX_SERIES_GAP_NANOS = 6_000 * NANOS_PER_MS;

    /**
     * Kill of one process.
     *
     * @param process index of a witness, or {@link #HOLDER}
     * @param downNanos time until the next process starts
     */
    record Kill(long atNanos, int process, long downNanos) {
        static final int HOLDER = -1;
    }

    private HerdKills() {}

    /** Returns kills of most witnesses at once; half of them are followed by a second kill within seconds. */
    static List<Kill> random(Random random, int witnesses, long endNanos) {
        List<Kill> kills = new ArrayList<>();
        for (int i = random.nextInt(MAX_HERD_KILLS); i > 0; i--) {
            long firstNanos = random.nextLong(endNanos);
            addHerd(random, witnesses, firstNanos, kills);
            if (random.nextBoolean()) {
                addHerd(random, witnesses, firstNanos + random.nextLong(MAX_SERIES_GAP_NANOS), kills);
            }
        }
        return kills;
    }

    private static void addHerd(Random random, int witnesses, long atNanos, List<Kill> kills) {
        for (int i = 0; i < witnesses; i++) {
            if (random.nextDouble() < WITNESS_SHARE) {
                kills.add(new Kill(atNanos, i, restartNanos(random)));
            }
        }
        if (random.nextDouble() < HOLDER_RATE) {
            kills.add(new Kill(atNanos, Kill.HOLDER, restartNanos(random)));
        }
    }

    private static long restartNanos(Random random) {
        return random.nextLong(random.nextInt(4) == 0 ? MAX_LONG_RESTART_NANOS : MAX_USUAL_RESTART_NANOS);
    }
}
