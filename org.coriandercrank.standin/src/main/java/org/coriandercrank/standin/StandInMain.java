package org.coriandercrank.standin;

import java.util.List;
import java.util.function.Function;
import java.util.logging.Level;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.log.LogSetup;
import org.coriandercrank.kernel.settings.Settings;
import org.coriandercrank.kernel.settings.SettingsLoader;

/** Common start of the stand-in programs. Stateless. */
final class StandInMain {
    private static final int EXIT_SETTINGS = 2;

    private StandInMain() {}

    /** Loads settings, starts the program and closes it when the process is asked to end. */
    static <T extends Settings> void run(T bean, List<String> arguments, Function<T, AutoCloseable> start) {
        LogSetup.configure(Level.INFO);
        T settings;
        try {
            settings = SettingsLoader.load(bean, arguments, System.getenv());
        } catch (CrankException e) {
            System.err.println(e.getMessage());
            System.err.print(SettingsLoader.usage(bean));
            System.exit(EXIT_SETTINGS);
            return;
        }
        AutoCloseable program = start.apply(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> closeQuietly(program), "shutdown"));
    }

    private static void closeQuietly(AutoCloseable program) {
        try {
            program.close();
        } catch (Exception e) {
            System.err.println("close failed: " + e.getMessage());
        }
    }
}
