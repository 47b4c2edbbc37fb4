package org.coriandercrank.daemon;

import org.coriandercrank.daemon.internal.Daemon;
import org.coriandercrank.daemon.internal.DaemonSettings;
import org.coriandercrank.kernel.log.LogSetup;
import org.coriandercrank.kernel.settings.CommandLine;
import org.coriandercrank.kernel.settings.ProgramStart;

/** The program {@code crankd}. SIGTERM starts a graceful shutdown. */
public final class Crankd {
    private Crankd() {}

    public static void main(String[] arguments) throws InterruptedException {
        DaemonSettings settings = CommandLine.loadOrExit("crankd", new DaemonSettings(), arguments);
        LogSetup.configure(settings.logLevel());
        Daemon daemon = ProgramStart.startOrExit("crankd", () -> new Daemon(settings));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
        Thread.currentThread().join();
    }

    private static void stop(Daemon daemon) {
        daemon.leave();
        daemon.close();
    }
}
