package org.coriandercrank.daemon.internal;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers stay open until the process ends. Thread safe.
 *
 * <p>The standard one closes all handlers by a shutdown hook of its own, which runs beside that of the daemon, so that
 * the lines of a planned stop are lost.
 */
public final class StopLogManager extends LogManager {
    /** Has no effect: the console handler writes each line at once and needs no close. */
    @Override
    public void reset() {}
}
