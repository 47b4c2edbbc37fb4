package org.coriandercrank.load;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.log.LogSetup;
import org.coriandercrank.kernel.settings.SettingsLoader;
import org.coriandercrank.load.internal.LoadDriver;
import org.coriandercrank.load.internal.LoadPlan;
import org.coriandercrank.load.internal.LoadSettings;
import org.coriandercrank.load.internal.ReportFiles;

/** The program {@code crank-load}. Exit code 0: no violation; 1: violations; 2: faulty settings. */
public final class CrankLoad {
    private static final int EXIT_VIOLATIONS = 1;
    private static final int EXIT_SETTINGS = 2;
    private static final int IO_THREADS = 2;

    private CrankLoad() {}

    public static void main(String[] arguments) throws IOException {
        LogSetup.configure(Level.WARNING);
        LoadSettings settings = new LoadSettings();
        try {
            SettingsLoader.load(settings, List.of(arguments), System.getenv());
        } catch (CrankException e) {
            System.err.println(e.code() + " (" + e.code().number() + "):\n" + e.getMessage());
            System.err.println(SettingsLoader.usage(settings));
            System.exit(EXIT_SETTINGS);
        }
        LoadReport report = run(settings);
        report.lines().forEach(System.out::println);
        if (!settings.report().isEmpty()) {
            ReportFiles.write(settings.report(), report);
        }
        System.exit(report.violations().isEmpty() ? 0 : EXIT_VIOLATIONS);
    }

    private static LoadReport run(LoadSettings settings) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
        try {
            settings.warmupPlan().ifPresent(plan -> runPlan(group, settings, plan));
            return runPlan(group, settings, settings.plan());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static LoadReport runPlan(EventLoopGroup group, LoadSettings settings, LoadPlan plan) {
        LoadDriver.CallForm form = settings.direct() ? LoadDriver::direct : LoadDriver::routed;
        try (LoadDriver driver = new LoadDriver(group, settings.targets(), plan, form)) {
            List<CallRecord> calls = driver.run();
            return LoadReport.of(driver.startedNanos(), calls, LedgerReader.read(settings.ledgers()));
        }
    }
}
