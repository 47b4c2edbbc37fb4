package org.coriandercrank.load;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import org.coriandercrank.kernel.log.LogSetup;
import org.coriandercrank.kernel.settings.CommandLine;
import org.coriandercrank.load.internal.LoadDriver;
import org.coriandercrank.load.internal.LoadPlan;
import org.coriandercrank.load.internal.LoadSettings;
import org.coriandercrank.load.internal.PlanResult;
import org.coriandercrank.load.internal.ReportWriter;

/** The load generator {@code crank-load}. Exit code 0: no violation; 1: violations; 2: invalid settings. */
public final class CrankLoad {
    private static final int EXIT_VIOLATIONS = 1;
    private static final int IO_THREADS = 2;

    private CrankLoad() {}

    public static void main(String[] arguments) throws IOException {
        LogSetup.configure(Level.WARNING);
        LoadSettings settings = CommandLine.loadOrExit("crank-load", new LoadSettings(), arguments);
        System.exit(run(settings) ? 0 : EXIT_VIOLATIONS);
    }

    /** Runs the load and prints reports; returns whether no violation was found. */
    private static boolean run(LoadSettings settings) throws IOException {
        LoadDriver.RequestFactory requestFactory =
                settings.direct() ? LoadDriver::directRequest : LoadDriver::routedRequest;
        EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
        try {
            List<LoadPlan> warmupPlans = settings.warmupPlans();
            if (!warmupPlans.isEmpty()) {
                PlanResult.runAll(eventLoopGroup, settings.targets(), warmupPlans, requestFactory);
            }
            settings.scenarioHeading().ifPresent(System.out::println);
            return reportResults(
                    settings, PlanResult.runAll(eventLoopGroup, settings.targets(), settings.plans(), requestFactory));
        } finally {
            eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /**
     * Prints one report per service, if there are several, and one for all services; returns whether no violation was
     * found. The total covers all executions of the ledgers, so that ownership is checked across all callers.
     */
    private static boolean reportResults(LoadSettings settings, List<PlanResult> results) throws IOException {
        Optional<List<Execution>> executions = settings.ledgerFiles().isEmpty()
                ? Optional.empty()
                : Optional.of(LedgerReader.read(settings.ledgerFiles()));
        if (results.size() > 1) {
            for (PlanResult result : results) {
                printReport(settings, result.service(), result.toReport(executions.map(result::executionsOfCalls)));
            }
        }
        LoadReport total = PlanResult.merge(results).toReport(executions);
        printReport(settings, results.size() > 1 ? "total" : "", total);
        return total.violations().isEmpty();
    }

    private static void printReport(LoadSettings settings, String name, LoadReport report) throws IOException {
        report.toLines().forEach(line -> System.out.println(name.isEmpty() ? line : name + ": " + line));
        if (!settings.reportPathPrefix().isEmpty()) {
            ReportWriter.write(settings.reportPathPrefix() + (name.isEmpty() ? "" : "-" + name), report);
        }
    }
}
