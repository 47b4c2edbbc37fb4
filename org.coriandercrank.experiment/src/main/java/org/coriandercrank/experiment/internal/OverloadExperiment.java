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
 * Measures one keyed service above the capacity of its server, and beside a key that gets half of all requests.
 *
 * <p>Not thread safe. One of three hosts has a backend server, so that four times its capacity fits on one machine;
 * callers use the other two, so that every call passes a link.
 */
public final class OverloadExperiment {
    private static final int HOSTS = 3;
    private static final int SLOTS = 18;
    private static final int MS_PER_SECOND = 1_000;
    private static final long DEADLINE_MS = 1_000;
    private static final int WRITE_PERCENT = 20;
    private static final long WARM_UP_MS = 4_000;
    private static final List<Double> FACTORS = List.of(1.0, 2.0, 4.0);
    private static final List<Double> HOT_KEY_FACTORS = List.of(0.8, 2.0);

    private final ExperimentSettings settings;
    private final Consumer<String> out;
    private final List<OverloadResult> figures = new ArrayList<>();

    public OverloadExperiment(ExperimentSettings settings, Consumer<String> out) {
        this.settings = settings;
        this.out = out;
    }

    /** Runs all loads with each seed on one site per seed. Blocks. */
    public void run() {
        int capacityPerSecond = (int) (SLOTS * MS_PER_SECOND / settings.serviceMs());
        out.accept("capacity " + capacityPerSecond + "/s\n" + OverloadResult.HEADING);
        for (long seed : settings.seeds()) {
            try (ServiceSite site = new ServiceSite(specs(), settings.daemonFlags())) {
                startSite(site);
                load(site, capacityPerSecond / 2, WARM_UP_MS, settings.keys(), seed + 100)
                        .join();
                for (double factor : FACTORS) {
                    int ratePerSecond = (int) (capacityPerSecond * factor);
                    List<CallRecord> calls = load(site, ratePerSecond, settings.durationMs(), settings.keys(), seed)
                            .join();
                    add(factor + "x, seed " + seed, calls);
                }
                for (double factor : HOT_KEY_FACTORS) {
                    measureHotKey(site, (int) (capacityPerSecond * factor), factor, seed);
                }
            }
        }
    }

    private void measureHotKey(ServiceSite site, int ratePerSecond, double factor, long seed) {
        List<CallRecord> even = load(site, ratePerSecond, settings.durationMs(), settings.keys(), seed + 1)
                .join();
        add(factor + "x, even keys, seed " + seed, even);
        CompletableFuture<List<CallRecord>> hot = load(site, ratePerSecond / 2, settings.durationMs(), 1, seed + 2);
        List<CallRecord> others = load(site, ratePerSecond / 2, settings.durationMs(), settings.keys(), seed + 3)
                .join();
        add(factor + "x, other keys beside a hot key, seed " + seed, others);
        add(factor + "x, hot key, seed " + seed, hot.join());
    }

    private void add(String name, List<CallRecord> calls) {
        OverloadResult result = OverloadResult.of(name, settings.durationMs(), calls);
        figures.add(result);
        out.accept(result.row());
        JsonReport.write(settings.report(), figures);
    }

    private static List<HostSpec> specs() {
        List<HostSpec> specs = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            specs.add(new HostSpec("h" + i, "r1", "d" + i % 2, ServiceSite.SERVICE));
        }
        return specs;
    }

    private void startSite(ServiceSite site) {
        for (int i = 0; i < HOSTS - 1; i++) {
            site.startDaemon(site.host(i));
        }
        site.startHost(site.host(HOSTS - 1), List.of("--service-ms=" + settings.serviceMs(), "--slots=" + SLOTS));
        site.awaitBackend(site.host(HOSTS - 1));
        site.submit("first", "\"add\":{\"services\":[{\"name\":\"" + ServiceSite.SERVICE + "\",\"keyed\":true}]}");
        site.awaitServing(site.host(HOSTS - 1));
        Await.sleep(settings.settleMs());
    }

    /** Even load on a number of keys; the future ends with the last answer. */
    private static CompletableFuture<List<CallRecord>> load(
            ServiceSite site, int ratePerSecond, long durationMs, int keys, long seed) {
        LoadPlan plan = new LoadPlan(
                ServiceSite.SERVICE,
                true,
                ratePerSecond,
                durationMs,
                keys,
                0,
                0,
                durationMs,
                WRITE_PERCENT,
                0,
                DEADLINE_MS,
                0,
                seed);
        return CompletableFuture.supplyAsync(() -> {
            try (LoadDriver driver =
                    new LoadDriver(site.group(), site.callerAddresses(HOSTS - 1), plan, LoadDriver::routedRequest)) {
                return driver.run();
            }
        });
    }
}
