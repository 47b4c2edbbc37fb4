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
import org.coriandercrank.testkit.ClusterHost;
import org.coriandercrank.testkit.HostSpec;

/**
 * Measures placement policies under changing hot keys while one host joins, one server is drained and one host is
 * killed.
 *
 * <p>Not thread safe. Callers use the two hosts that stay, so that a call fails only because of placement and not
 * because its ingress was lost.
 */
public final class PlacementExperiment {
    /** Number of hosts at the start; one more joins during the run. */
    private static final int HOSTS = 4;

    private static final int CALLER_HOSTS = 2;
    private static final int DRAINED_HOST = 2;
    private static final int KILLED_HOST = 3;

    /** Times of the events as fractions of the run. */
    private static final double JOIN_AT_FRACTION = 0.2;

    private static final double DRAIN_AT_FRACTION = 0.55;
    private static final double KILL_AT_FRACTION = 0.75;

    private static final int WRITE_PERCENT = 20;
    private static final int MAX_PRINTED_VIOLATIONS = 3;
    private static final long DEADLINE_MS = 2_000;

    private final ExperimentSettings settings;
    private final Consumer<String> out;
    private final List<PlacementResult> results = new ArrayList<>();

    public PlacementExperiment(ExperimentSettings settings, Consumer<String> out) {
        this.settings = settings;
        this.out = out;
    }

    /** Measures each policy with each seed, one after the other. Blocks. */
    public void run() {
        out.accept(PlacementResult.TABLE_HEADING);
        for (long seed : settings.seeds()) {
            for (String policy : settings.policies()) {
                PlacementResult result = measurePolicy(policy, seed);
                results.add(result);
                out.accept(result.toTableRow());
                result.failedByCode().forEach((code, count) -> out.accept("  " + code + " " + count));
                result.violations().stream()
                        .limit(MAX_PRINTED_VIOLATIONS)
                        .forEach(violation -> out.accept("  violation " + violation));
                JsonReport.write(settings.report(), results);
            }
        }
    }

    private PlacementResult measurePolicy(String policy, long seed) {
        try (ServiceCluster cluster = new ServiceCluster(hostSpecs(), settings.daemonFlags());
                TableRecorder tables = new TableRecorder(cluster.store())) {
            startCluster(cluster, policy);
            LoadPlan plan = new LoadPlan(
                    ServiceCluster.SERVICE,
                    /* keyed= */ true,
                    settings.ratePerSecond(),
                    settings.durationMs(),
                    settings.keys(),
                    settings.zipfExponent(),
                    settings.hotKeys(),
                    settings.hotChangeMs(),
                    WRITE_PERCENT,
                    /* bodyBytes= */ 0,
                    DEADLINE_MS,
                    /* maxRetries= */ 0,
                    seed);
            int firstTableIndex = Math.max(tables.tables().size() - 1, 0);
            try (LoadDriver driver = new LoadDriver(
                    cluster.eventLoopGroup(), cluster.callerAddresses(CALLER_HOSTS), plan, LoadDriver::routedRequest)) {
                long startNanos = System.nanoTime();
                CompletableFuture<List<CallRecord>> pendingCalls = CompletableFuture.supplyAsync(driver::run);
                EventTimes eventTimes = triggerEvents(cluster, startNanos);
                List<CallRecord> calls = pendingCalls.join();
                List<OwnerChange> changes = OwnerChange.of(
                        tables.tables().subList(firstTableIndex, tables.tables().size()));
                return createResult(
                        policy, seed, eventTimes, driver.startedNanos(), calls, cluster.executions(), changes);
            }
        }
    }

    private static List<HostSpec> hostSpecs() {
        List<HostSpec> specs = new ArrayList<>();
        for (int i = 0; i <= HOSTS; i++) {
            specs.add(new HostSpec("h" + i, "r1", "d" + i % 2, ServiceCluster.SERVICE));
        }
        return specs;
    }

    private void startCluster(ServiceCluster cluster, String policy) {
        for (int i = 0; i < HOSTS; i++) {
            cluster.startHost(cluster.host(i), backendFlags());
        }
        for (int i = 0; i < HOSTS; i++) {
            cluster.awaitBackend(cluster.host(i));
        }
        cluster.submitNote(
                "first",
                "\"add\":{\"services\":[{\"name\":\"" + ServiceCluster.SERVICE
                        + "\",\"keyed\":true,\"placementPolicy\":\"" + policy + "\"}]}");
        for (int i = 0; i < HOSTS; i++) {
            cluster.awaitServing(cluster.host(i));
        }
        Await.sleep(settings.settleMs());
    }

    private List<String> backendFlags() {
        return List.of("--service-ms=" + settings.serviceMs());
    }

    /** Times of the events of a run on the monotonic clock. Immutable. */
    private record EventTimes(long joinNanos, long drainNanos, long killNanos) {}

    private EventTimes triggerEvents(ServiceCluster cluster, long startNanos) {
        waitUntilFraction(startNanos, JOIN_AT_FRACTION);
        ClusterHost joining = cluster.host(HOSTS);
        long joinNanos = System.nanoTime();
        cluster.startHost(joining, backendFlags());
        waitUntilFraction(startNanos, DRAIN_AT_FRACTION);
        long drainNanos = System.nanoTime();
        cluster.submitNote(
                "drain",
                "\"add\":{\"backends\":[{\"backendName\":\""
                        + cluster.host(DRAINED_HOST).spec().name() + "\",\"drain\":true}]}");
        waitUntilFraction(startNanos, KILL_AT_FRACTION);
        long killNanos = System.nanoTime();
        cluster.killHost(cluster.host(KILLED_HOST));
        return new EventTimes(joinNanos, drainNanos, killNanos);
    }

    private void waitUntilFraction(long startNanos, double fraction) {
        long dueMs = (long) (settings.durationMs() * fraction);
        Await.sleep(Math.max(0, dueMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)));
    }

    private PlacementResult createResult(
            String policy,
            long seed,
            EventTimes eventTimes,
            long startedNanos,
            List<CallRecord> calls,
            List<Execution> executions,
            List<OwnerChange> changes) {
        LoadReport report = LoadReport.of(startedNanos, calls, executions);
        Map<String, ActivePeriod> activePeriods = new HashMap<>();
        for (int i = 0; i < CALLER_HOSTS; i++) {
            activePeriods.put("h" + i, new ActivePeriod(0, Long.MAX_VALUE));
        }
        activePeriods.put("h" + DRAINED_HOST, new ActivePeriod(0, sinceMs(startedNanos, eventTimes.drainNanos())));
        activePeriods.put("h" + KILLED_HOST, new ActivePeriod(0, sinceMs(startedNanos, eventTimes.killNanos())));
        activePeriods.put("h" + HOSTS, new ActivePeriod(sinceMs(startedNanos, eventTimes.joinNanos()), Long.MAX_VALUE));
        MoveGaps gaps = new MoveGaps(calls, executions);
        Map<Boolean, List<OwnerChange>> changesByCause =
                changes.stream().collect(Collectors.partitioningBy(change -> isCausedByKill(change, eventTimes)));
        Map<String, Long> failedByCode = new HashMap<>(report.resultCodes());
        failedByCode.remove("OK");
        return new PlacementResult(
                policy,
                seed,
                settings.ratePerSecond(),
                settings.durationMs(),
                report.calls(),
                report.calls() - report.succeeded(),
                failedByCode,
                report.latencyP50Ms(),
                report.latencyP99Ms(),
                ServerLoads.of(startedNanos, settings.durationMs(), executions, activePeriods),
                Churn.of(changes),
                report.unavailableKeySeconds(),
                PlacementResult.Gaps.of(gaps.plannedMoveGapsMs(changesByCause.get(false))),
                PlacementResult.Gaps.of(gaps.takeoverGapsMs(changesByCause.get(true), eventTimes.killNanos())),
                report.violations().stream().map(Object::toString).toList(),
                report.perSecond().stream().map(LoadReport.SecondStats::failed).toList(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    /** Returns whether an owner change is due to the killed host. Member ids start with the name of their host. */
    private static boolean isCausedByKill(OwnerChange change, EventTimes eventTimes) {
        return change.observedNanos() > eventTimes.killNanos()
                && change.from().value().startsWith("h" + KILLED_HOST + "-");
    }

    private static long sinceMs(long startedNanos, long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - startedNanos);
    }
}
