package org.coriandercrank.kernel.log;

import java.util.logging.LogManager;

/**
 * Keeps handlers until the process ends, so that a planned stop, which runs in a shutdown hook, is logged. The base
 * class removes them in a shutdown hook of its own. Thread safe.
 */
public final class PersistentLogManager extends LogManager {
    /** Does nothing; {@link LogSetup} replaces handlers itself. */
    @Override
    public void reset() {}
}
