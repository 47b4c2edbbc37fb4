package org.coriandercrank.experiment.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.coriandercrank.load.CallRecord;
import org.coriandercrank.load.internal.LoadDriver;
import org.coriandercrank.load.internal.LoadPlan;
import org.coriandercrank.testkit.HostSpec;

/**
 * Measures a keyed service under load above the capacity of its server, and with one hot key that receives half of all
 * requests.
 *
 * <p>Not thread safe. Only one of three hosts has a backend server, so that one machine can generate four times its
 * capacity. Callers use the other two hosts, so that every call passes a connection between daemons.
 */
public final class OverloadExperiment {
    private static final int HOSTS = 3;
    private static final int SLOTS = 18;
    private static final int MS_PER_SECOND = 1_000;
    private static final long DEADLINE_MS = 1_000;
    private static final int WRITE_PERCENT = 20;
    private static final long WARMUP_MS = 4_000;
    private static final long WARMUP_SEED_OFFSET = 100;
    private static final List<Double> LOAD_FACTORS = List.of(1.0, 2.0, 4.0);
    private static final List<Double> HOT_KEY_LOAD_FACTORS = List.of(0.8, 2.0);

    private final ExperimentSettings settings;
    private final Consumer<String> out;
    private final List<OverloadResult> results = new ArrayList<>();

    public OverloadExperiment(ExperimentSettings settings, Consumer<String> out) {
        this.settings = settings;
        this.out = out;
    }

    /** Runs all loads with each seed, on a new cluster per seed. Blocks. */
    public void run() {
        int capacityPerSecond = (int) (SLOTS * MS_PER_SECOND / settings.serviceMs());
        out.accept("capacity " + capacityPerSecond + "/s\n" + OverloadResult.TABLE_HEADING);
        for (long seed : settings.seeds()) {
            try (ServiceCluster cluster = new ServiceCluster(hostSpecs(), settings.daemonFlags())) {
                startCluster(cluster);
                startLoad(cluster, capacityPerSecond / 2, WARMUP_MS, settings.keys(), seed + WARMUP_SEED_OFFSET)
                        .join();
                for (double factor : LOAD_FACTORS) {
                    int ratePerSecond = (int) (capacityPerSecond * factor);
                    List<CallRecord> calls = startLoad(
                                    cluster, ratePerSecond, settings.durationMs(), settings.keys(), seed)
                            .join();
                    addResult(factor + "x, seed " + seed, calls);
                }
                for (double factor : HOT_KEY_LOAD_FACTORS) {
                    measureHotKey(cluster, (int) (capacityPerSecond * factor), factor, seed);
                }
            }
        }
    }

    private void measureHotKey(ServiceCluster cluster, int ratePerSecond, double factor, long seed) {
        List<CallRecord> uniformLoadCalls = startLoad(
                        cluster, ratePerSecond, settings.durationMs(), settings.keys(), seed + 1)
                .join();
        addResult(factor + "x, even keys, seed " + seed, uniformLoadCalls);
        CompletableFuture<List<CallRecord>> hotKeyCalls =
                startLoad(cluster, ratePerSecond / 2, settings.durationMs(), 1, seed + 2);
        List<CallRecord> otherKeyCalls = startLoad(
                        cluster, ratePerSecond / 2, settings.durationMs(), settings.keys(), seed + 3)
                .join();
        addResult(factor + "x, other keys beside a hot key, seed " + seed, otherKeyCalls);
        addResult(factor + "x, hot key, seed " + seed, hotKeyCalls.join());
    }

    private void addResult(String name, List<CallRecord> calls) {
        OverloadResult result = OverloadResult.of(name, settings.durationMs(), calls);
        results.add(result);
        out.accept(result.toTableRow());
        JsonReport.write(settings.report(), results);
    }

    private static List<HostSpec> hostSpecs() {
        List<HostSpec> specs = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            specs.add(new HostSpec("h" + i, "r1", "d" + i % 2, ServiceCluster.SERVICE));
        }
        return specs;
    }

    private void startCluster(ServiceCluster cluster) {
        for (int i = 0; i < HOSTS - 1; i++) {
            cluster.startDaemon(cluster.host(i));
        }
        cluster.startHost(cluster.host(HOSTS - 1), List.of("--service-ms=" + settings.serviceMs(), "--slots=" + SLOTS));
        cluster.awaitBackend(cluster.host(HOSTS - 1));
        cluster.submitNote(
                "first", "\"add\":{\"services\":[{\"name\":\"" + ServiceCluster.SERVICE + "\",\"keyed\":true}]}");
        cluster.awaitServing(cluster.host(HOSTS - 1));
        Await.sleep(settings.settleMs());
    }

    /** Starts a load with uniformly distributed keys; the future completes when the last call has ended. */
    private static CompletableFuture<List<CallRecord>> startLoad(
            ServiceCluster cluster, int ratePerSecond, long durationMs, int keys, long seed) {
        LoadPlan plan = new LoadPlan(
                ServiceCluster.SERVICE,
                /* keyed= */ true,
                ratePerSecond,
                durationMs,
                keys,
                /* zipfExponent= */ 0,
                /* hotKeys= */ 0,
                /* hotChangeMs= */ durationMs,
                WRITE_PERCENT,
                /* bodyBytes= */ 0,
                DEADLINE_MS,
                /* maxRetries= */ 0,
                seed);
        return CompletableFuture.supplyAsync(() -> {
            try (LoadDriver driver = new LoadDriver(
                    cluster.eventLoopGroup(), cluster.callerAddresses(HOSTS - 1), plan, LoadDriver::routedRequest)) {
                return driver.run();
            }
        });
    }
}
