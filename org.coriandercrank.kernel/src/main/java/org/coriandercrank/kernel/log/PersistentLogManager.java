package org.coriandercrank.kernel.log;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers until the process ends. The base class removes them in a shutdown hook, which
 * would lose the log lines of a graceful shutdown, because that also runs in a shutdown hook. Thread safe.
 */
public final class PersistentLogManager extends LogManager {
    /** Does nothing; {@link LogSetup} replaces the handlers itself. */
    @Override
    public void reset() {}
}
