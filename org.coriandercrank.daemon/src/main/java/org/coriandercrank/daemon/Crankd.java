package org.coriandercrank.daemon;

import java.util.List;
import org.coriandercrank.daemon.internal.Daemon;
import org.coriandercrank.daemon.internal.DaemonSettings;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.log.LogSetup;
import org.coriandercrank.kernel.settings.SettingsLoader;

/** The program {@code crankd}. A TERM signal starts a planned stop. */
public final class Crankd {
    private static final int EXIT_SETTINGS = 2;

    private Crankd() {}

    public static void main(String[] arguments) throws InterruptedException {
        DaemonSettings settings = new DaemonSettings();
        try {
            SettingsLoader.load(settings, List.of(arguments), System.getenv());
        } catch (CrankException e) {
            System.err.println(e.code() + " (" + e.code().number() + "):");
            System.err.println(e.getMessage());
            System.err.println(SettingsLoader.usage(settings));
            System.exit(EXIT_SETTINGS);
        }
        LogSetup.configure(settings.logLevel());
        Daemon daemon = new Daemon(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
        Thread.currentThread().join();
    }

    private static void stop(Daemon daemon) {
        daemon.leave();
        daemon.close();
    }
}
