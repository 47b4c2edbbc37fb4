package org.coriandercrank.standin;

import java.util.function.Function;
import java.util.logging.Level;
import org.coriandercrank.kernel.log.LogSetup;
import org.coriandercrank.kernel.settings.CommandLine;
import org.coriandercrank.kernel.settings.ProgramStart;
import org.coriandercrank.kernel.settings.Settings;

/** Common entry point of the stand-in programs. Stateless. */
final class StandInLauncher {
    private StandInLauncher() {}

    /** Loads the settings, starts the program and registers a shutdown hook that closes it. */
    static <T extends Settings> void run(
            String program, T defaults, String[] arguments, Function<T, AutoCloseable> start) {
        LogSetup.configure(Level.INFO);
        T settings = CommandLine.loadOrExit(program, defaults, arguments);
        AutoCloseable running = ProgramStart.startOrExit(program, () -> start.apply(settings));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> closeQuietly(running), "shutdown"));
    }

    private static void closeQuietly(AutoCloseable program) {
        try {
            program.close();
        } catch (Exception e) {
            System.err.println("closing the program failed: " + e.getMessage());
        }
    }
}
