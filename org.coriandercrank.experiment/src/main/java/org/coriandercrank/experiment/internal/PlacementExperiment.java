package org.coriandercrank.experiment.internal;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.coriandercrank.experiment.internal.ServerLoads.ActivePeriod;
import org.coriandercrank.load.CallRecord;
import org.coriandercrank.load.Execution;
import org.coriandercrank.load.LoadReport;
import org.coriandercrank.load.internal.LoadDriver;
import org.coriandercrank.load.internal.LoadPlan;
import org.coriandercrank.testkit.HostSpec;
import org.coriandercrank.testkit.ClusterHost;

/**
 * Measures placement policies under moving hot keys while a server joins, one is drained and one host is killed.
 *
 * <p>Not thread safe. Callers use the two hosts that stay, so that every failed call is due to placement and not to a
 * lost ingress.
 */
public final class PlacementExperiment {
    private static final int HOSTS = 4;
    private static final int CALLER_HOSTS = 2;
    private static final int DRAINED_HOST = 2;
    private static final int KILLED_HOST = 3;
    private static final double JOIN_AT = 0.2;
    private static final double DRAIN_AT = 0.55;
    private static final double KILL_AT = 0.75;
    private static final int WRITE_PERCENT = 20;
    private static final long DEADLINE_MS = 2_000;

    private final ExperimentSettings settings;
    private final Consumer<String> out;
    private final List<PlacementResult> figures = new ArrayList<>();

    public PlacementExperiment(ExperimentSettings settings, Consumer<String> out) {
        this.settings = settings;
        this.out = out;
    }

    /** Runs each policy with each seed, one run after the other. Blocks. */
    public void call() {
        out.accept(PlacementResult.HEADING);
        for (long seed : settings.seeds()) {
            for (String policy : settings.policies()) {
                PlacementResult result = run(policy, seed);
                figures.add(result);
                out.accept(result.row());
                result.failedByCode().forEach((code, count) -> out.accept("  " + code + " " + count));
                result.violations().stream().limit(3).forEach(v -> out.accept("  violation " + v));
                JsonReport.write(settings.report(), figures);
            }
        }
    }

    private PlacementResult run(String policy, long seed) {
        try (ServiceSite site = new ServiceSite(specs(), settings.daemonFlags());
                TableRecorder tables = new TableRecorder(site.store())) {
            startSite(site, policy);
            LoadPlan plan = new LoadPlan(
                    ServiceSite.SERVICE,
                    true,
                    settings.ratePerSecond(),
                    settings.durationMs(),
                    settings.keys(),
                    settings.zipfExponent(),
                    settings.hotKeys(),
                    settings.hotChangeMs(),
                    WRITE_PERCENT,
                    0,
                    DEADLINE_MS,
                    0,
                    seed);
            int firstTable = Math.max(tables.tables().size() - 1, 0);
            try (LoadDriver driver =
                    new LoadDriver(site.group(), site.callerAddresses(CALLER_HOSTS), plan, LoadDriver::routedRequest)) {
                long startNanos = System.nanoTime();
                CompletableFuture<List<CallRecord>> running = CompletableFuture.supplyAsync(driver::run);
                Events events = causeEvents(site, startNanos);
                List<CallRecord> calls = running.join();
                List<OwnerChange> changes = OwnerChange.of(
                        tables.tables().subList(firstTable, tables.tables().size()));
                return figures(policy, seed, events, driver.startedNanos(), calls, site.executions(), changes);
            }
        }
    }

    private static List<HostSpec> specs() {
        List<HostSpec> specs = new ArrayList<>();
        for (int i = 0; i <= HOSTS; i++) {
            specs.add(new HostSpec("h" + i, "r1", "d" + i % 2, ServiceSite.SERVICE));
        }
        return specs;
    }

    private void startSite(ServiceSite site, String policy) {
        for (int i = 0; i < HOSTS; i++) {
            site.startHost(site.host(i), backendFlags());
        }
        for (int i = 0; i < HOSTS; i++) {
            site.awaitBackend(site.host(i));
        }
        site.submit(
                "first",
                "\"add\":{\"services\":[{\"name\":\"" + ServiceSite.SERVICE + "\",\"keyed\":true,\"placementPolicy\":\""
                        + policy + "\"}]}");
        for (int i = 0; i < HOSTS; i++) {
            site.awaitServing(site.host(i));
        }
        Await.sleep(settings.settleMs());
    }

    private List<String> backendFlags() {
        return List.of("--service-ms=" + settings.serviceMs());
    }

    /** When the events of a run happened, by the monotonic clock. Immutable. */
    private record Events(long joinNanos, long drainNanos, long killNanos) {}

    private Events causeEvents(ServiceSite site, long startNanos) {
        waitFor(startNanos, JOIN_AT);
        ClusterHost joining = site.host(HOSTS);
        long joinNanos = System.nanoTime();
        site.startHost(joining, backendFlags());
        waitFor(startNanos, DRAIN_AT);
        long drainNanos = System.nanoTime();
        site.submit(
                "drain",
                "\"add\":{\"backends\":[{\"backendName\":\""
                        + site.host(DRAINED_HOST).spec().name() + "\",\"drain\":true}]}");
        waitFor(startNanos, KILL_AT);
        long killNanos = System.nanoTime();
        site.killHost(site.host(KILLED_HOST));
        return new Events(joinNanos, drainNanos, killNanos);
    }

    private void waitFor(long startNanos, double part) {
        long dueMs = (long) (settings.durationMs() * part);
        Await.sleep(Math.max(0, dueMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)));
    }

    private PlacementResult figures(
            String policy,
            long seed,
            Events events,
            long startedNanos,
            List<CallRecord> calls,
            List<Execution> executions,
            List<OwnerChange> changes) {
        LoadReport report = LoadReport.of(startedNanos, calls, executions);
        Map<String, ActivePeriod> servers = new HashMap<>();
        for (int i = 0; i < CALLER_HOSTS; i++) {
            servers.put("h" + i, new ActivePeriod(0, Long.MAX_VALUE));
        }
        servers.put("h" + DRAINED_HOST, new ActivePeriod(0, sinceMs(startedNanos, events.drainNanos())));
        servers.put("h" + KILLED_HOST, new ActivePeriod(0, sinceMs(startedNanos, events.killNanos())));
        servers.put("h" + HOSTS, new ActivePeriod(sinceMs(startedNanos, events.joinNanos()), Long.MAX_VALUE));
        MoveGaps gaps = new MoveGaps(calls, executions);
        Map<Boolean, List<OwnerChange>> byLoss =
                changes.stream().collect(Collectors.partitioningBy(c -> isLoss(c, events)));
        Map<String, Long> failed = new HashMap<>(report.resultCodes());
        failed.remove("OK");
        return new PlacementResult(
                policy,
                seed,
                settings.ratePerSecond(),
                settings.durationMs(),
                report.calls(),
                report.calls() - report.succeeded(),
                failed,
                report.latencyP50Ms(),
                report.latencyP99Ms(),
                ServerLoads.of(startedNanos, settings.durationMs(), executions, servers),
                Churn.of(changes),
                report.unavailableKeySeconds(),
                PlacementResult.Gaps.of(gaps.planned(byLoss.get(false))),
                PlacementResult.Gaps.of(gaps.takeover(byLoss.get(true), events.killNanos())),
                report.violations().stream().map(Object::toString).toList(),
                report.perSecond().stream().map(LoadReport.SecondStats::failed).toList(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    /** Member ids start with the name of the host. */
    private static boolean isLoss(OwnerChange change, Events events) {
        return change.observedNanos() > events.killNanos() && change.from().value().startsWith("h" + KILLED_HOST + "-");
    }

    private static long sinceMs(long startedNanos, long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - startedNanos);
    }
}
