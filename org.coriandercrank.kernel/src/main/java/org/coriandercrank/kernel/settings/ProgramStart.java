package org.coriandercrank.kernel.settings;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Callable;

/** Start of the components of a program. Use only after logging has been configured. Stateless. */
public final class ProgramStart {
    /** Exit code of a program that could not start, for example because one of its ports is in use. */
    public static final int EXIT_START_FAILED = 1;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private ProgramStart() {}

    /**
     * Starts the components of a program, or ends the process with {@link #EXIT_START_FAILED} if that fails. Threads of
     * the components that have started would keep the process alive otherwise, and whoever supervises it would not
     * restart it.
     */
    public static <T> T startOrExit(String program, Callable<T> start) {
        try {
            return start.call();
        } catch (Exception e) {
            logger.atSevere().withCause(e).log("event=start-failed program=%s reason=\"%s\"", program, e.getMessage());
            System.exit(EXIT_START_FAILED);
            throw new IllegalStateException(e);
        }
    }
}
