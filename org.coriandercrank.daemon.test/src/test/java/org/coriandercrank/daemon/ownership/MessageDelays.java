package org.coriandercrank.daemon.ownership;

import java.util.Random;

/**
 * Delays of messages between servers and daemons, or between daemons. Immutable.
 *
 * @param share probability that a message is late
 * @param maxMs latest arrival of a late message
 */
record MessageDelays(double share, int maxMs) {
    static final MessageDelays NONE = new MessageDelays(0, 1);

    long draw(Random random) {
        return share > 0 && random.nextDouble() < share ? random.nextInt(maxMs) : 0;
    }
}
