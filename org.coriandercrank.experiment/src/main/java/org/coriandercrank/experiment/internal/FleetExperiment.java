package org.coriandercrank.experiment.internal;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.plugin.PluginRegistry.Kind;
import org.coriandercrank.kernel.settings.SettingsLoader;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.note.NoteApplier;
import org.coriandercrank.note.NoteSubmitter;
import org.coriandercrank.note.SubmitResult;
import org.coriandercrank.standin.BackendSettings;
import org.coriandercrank.standin.CrankBackend;
import org.coriandercrank.testkit.ClusterHost;
import org.coriandercrank.testkit.HostSpec;
import org.coriandercrank.testkit.LocalCluster;

/**
 * Measures the resource usage of an idle cluster and the rollout time of configuration changes. Not thread safe.
 *
 * <p>Daemons and the store are separate processes; the backend servers run in this process, to save memory.
 */
public final class FleetExperiment {
    private static final String SERVICE = "counter-desk";
    private static final int FAILURE_DOMAINS = 6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MS = 1e6;
    private static final double BYTES_PER_MB = 1e6;
    private static final int IO_THREADS = 2;
    private static final long STORE_TIMEOUT_MS = 5_000;
    private static final long NOTE_TIMEOUT_MS = 10_000;

    /** Processor time of 10 ms per second is 1 % of a core. */
    private static final int CPU_MS_PER_PERCENT_SECOND = 10;

    /** Change number n sets the queue length limit to this value plus n, so that every change has an effect. */
    private static final int BASE_QUEUE_LENGTH = 100;

    private final ExperimentSettings settings;
    private final Consumer<String> out;

    public FleetExperiment(ExperimentSettings settings, Consumer<String> out) {
        this.settings = settings;
        this.out = out;
    }

    /** Starts a cluster with a number of daemons, measures it and stops it. Blocks. */
    public void run(int size) {
        EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
        List<CrankBackend> backends = new ArrayList<>();
        Path directory = ServiceCluster.createDirectory();
        try (LocalCluster cluster = new LocalCluster(directory, hostSpecs(size));
                FleetSampler sampler = new FleetSampler(cluster, eventLoopGroup);
                ObjectStore store =
                        PluginRegistry.load().get(Kind.STORE, "http").open(cluster.storeAddress(), STORE_TIMEOUT_MS)) {
            cluster.hosts().forEach(host -> host.startDaemon(List.of("--log-level", "WARNING")));
            cluster.hosts().forEach(host -> backends.add(startBackend(host)));
            Await.until(
                    "all daemons have a backend server",
                    () -> cluster.hosts().stream().allMatch(clusterHost -> hasBackend(sampler, clusterHost)));
            submitNote(
                    store,
                    "{\"id\":\"first\",\"basedOn\":0,\"add\":{\"services\":[{\"name\":\"" + SERVICE
                            + "\",\"keyed\":true}]}}");
            Await.until(
                    "all hosts serve ranges",
                    () -> cluster.hosts().stream().allMatch(clusterHost -> hasServingRanges(sampler, clusterHost)));
            Await.sleep(settings.settleMs());
            measureIdle(size, sampler);
            measureConfigurationChanges(size, cluster, sampler, store);
        } finally {
            backends.forEach(CrankBackend::close);
            eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static List<HostSpec> hostSpecs(int size) {
        List<HostSpec> specs = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            int domain = i % FAILURE_DOMAINS;
            specs.add(new HostSpec("h" + i, domain < FAILURE_DOMAINS / 2 ? "r1" : "r2", "d" + domain, SERVICE));
        }
        return specs;
    }

    private static CrankBackend startBackend(ClusterHost host) {
        BackendSettings settings = SettingsLoader.load(
                new BackendSettings(),
                List.of(
                        "--name=" + host.spec().name(),
                        "--service=" + SERVICE,
                        "--listen=" + host.backendAddress(),
                        "--daemon=" + host.adminAddress()),
                Map.of());
        return CrankBackend.start(settings);
    }

    private void measureIdle(int size, FleetSampler sampler) {
        FleetSample before = sampler.sample();
        Await.sleep(settings.sampleMs());
        FleetSample after = sampler.sample();
        double seconds = (after.takenAtNanos() - before.takenAtNanos()) / NANOS_PER_SECOND;
        double daemonSeconds = seconds * size;
        out.accept(String.format(
                "size %d: cpu %.2f %% of a core, control %.0f bytes/s and %.1f messages/s, heap %.1f MB, resident %.1f MB"
                        + " per daemon; store reads %.2f/s, writes %.2f/s, watches %.2f/s in all",
                size,
                (after.cpuMs() - before.cpuMs()) / CPU_MS_PER_PERCENT_SECOND / daemonSeconds,
                (after.controlBytes() - before.controlBytes()) / daemonSeconds,
                (after.controlMessages() - before.controlMessages()) / daemonSeconds,
                after.heapBytes() / size / BYTES_PER_MB,
                after.residentBytes() / size / BYTES_PER_MB,
                (after.storeReads() - before.storeReads()) / seconds,
                (after.storeWrites() - before.storeWrites()) / seconds,
                (after.storeWatches() - before.storeWatches()) / seconds));
    }

    private void measureConfigurationChanges(int size, LocalCluster cluster, FleetSampler sampler, ObjectStore store) {
        for (int change = 1; change <= settings.changes(); change++) {
            FleetSample before = sampler.sample();
            Revision base = store.get("config/current").join().orElseThrow().revision();
            Revision accepted = submitNote(
                    store,
                    "{\"id\":\"change-" + change + "\",\"basedOn\":" + base
                            + ",\"change\":{\"services\":[{\"name\":\"" + SERVICE + "\",\"maxQueueLength\":"
                            + (BASE_QUEUE_LENGTH + change)
                            + "}]}}");
            long acceptedNanos = System.nanoTime();
            Await.until(
                    "the change is in force on all daemons",
                    () -> cluster.hosts().stream()
                            .allMatch(clusterHost -> hasConfiguration(sampler, clusterHost, accepted)));
            double rolloutMs = (System.nanoTime() - acceptedNanos) / NANOS_PER_MS;
            FleetSample after = sampler.sample();
            out.accept(String.format(
                    "size %d: change in force everywhere after %.0f ms; store reads %d, writes %d, watches %d",
                    size,
                    rolloutMs,
                    after.storeReads() - before.storeReads(),
                    after.storeWrites() - before.storeWrites(),
                    after.storeWatches() - before.storeWatches()));
        }
    }

    private static Revision submitNote(ObjectStore store, String note) {
        NoteApplier.Environment environment =
                new NoteApplier.Environment(Set.<ServiceName>of(), Set.of("availability"), Set.of("two-choices"));
        SubmitResult result = new NoteSubmitter(store, () -> environment, NOTE_TIMEOUT_MS).submit(note);
        if (!result.faults().isEmpty() || result.revision().equals(Revision.NONE)) {
            throw new IllegalStateException("release note was rejected: " + result);
        }
        return result.revision();
    }

    private static boolean hasBackend(FleetSampler sampler, ClusterHost host) {
        return sampler.status(host).flatMap(DaemonStatus::backendName).isPresent();
    }

    private static boolean hasServingRanges(FleetSampler sampler, ClusterHost host) {
        return sampler.status(host).map(status -> !status.serving().isEmpty()).orElse(false);
    }

    private static boolean hasConfiguration(FleetSampler sampler, ClusterHost host, Revision revision) {
        return sampler.status(host)
                .map(status -> status.configurationRevision().compareTo(revision) >= 0)
                .orElse(false);
    }
}
