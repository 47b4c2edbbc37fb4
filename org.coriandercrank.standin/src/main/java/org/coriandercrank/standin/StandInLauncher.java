package org.coriandercrank.standin;

import java.util.function.Function;
import java.util.logging.Level;
import org.coriandercrank.kernel.log.LogSetup;
import org.coriandercrank.kernel.settings.CommandLine;
import org.coriandercrank.kernel.settings.Settings;

/** Common start of the stand-in programs. Stateless. */
final class StandInLauncher {
    private StandInLauncher() {}

    /** Loads settings, starts the program and closes it when the process is asked to end. */
    static <T extends Settings> void run(
            String program, T defaults, String[] arguments, Function<T, AutoCloseable> start) {
        LogSetup.configure(Level.INFO);
        T settings = CommandLine.loadOrExit(program, defaults, arguments);
        AutoCloseable running = start.apply(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> closeQuietly(running), "shutdown"));
    }

    private static void closeQuietly(AutoCloseable program) {
        try {
            program.close();
        } catch (Exception e) {
            System.err.println("close failed: " + e.getMessage());
        }
    }
}
