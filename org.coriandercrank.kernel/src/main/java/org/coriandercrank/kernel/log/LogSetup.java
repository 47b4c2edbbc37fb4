package org.coriandercrank.kernel.log;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Configures logging to standard error. Call once when the process starts. */
public final class LogSetup {
    private static final String ROOT_PACKAGE = "org.coriandercrank";

    static {
        System.setProperty("java.util.logging.manager", PersistentLogManager.class.getName());
    }

    /** A strong reference: the log manager holds loggers weakly, and a collected logger would lose its level. */
    private static final Logger PROJECT_LOGGER = Logger.getLogger(ROOT_PACKAGE);

    /** Printed if a logger was created before this class was used, so that another log manager is in force. */
    public static final String WRONG_MANAGER_WARNING =
            "logging was used before it was configured: log lines of the shutdown may be lost";

    private LogSetup() {}

    /** Sets the level of this project's loggers. Libraries log only warnings and errors. */
    public static void configure(Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler console = new ConsoleHandler();
        console.setLevel(Level.ALL);
        console.setFormatter(new LineFormatter());
        root.addHandler(console);
        root.setLevel(Level.WARNING);
        PROJECT_LOGGER.setLevel(level);
        if (!(LogManager.getLogManager() instanceof PersistentLogManager)) {
            System.err.println(WRONG_MANAGER_WARNING);
        }
    }
}
