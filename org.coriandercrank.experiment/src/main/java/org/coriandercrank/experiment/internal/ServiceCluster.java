package org.coriandercrank.experiment.internal;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.plugin.PluginRegistry.Kind;
import org.coriandercrank.kernel.settings.SettingsLoader;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.load.Execution;
import org.coriandercrank.load.LedgerReader;
import org.coriandercrank.note.NoteApplier;
import org.coriandercrank.note.NoteSubmitter;
import org.coriandercrank.note.SubmitResult;
import org.coriandercrank.standin.BackendSettings;
import org.coriandercrank.standin.CrankBackend;
import org.coriandercrank.testkit.ClusterHost;
import org.coriandercrank.testkit.HostSpec;
import org.coriandercrank.testkit.LocalCluster;

/**
 * A local cluster with one service under load. Not thread safe.
 *
 * <p>Daemons and the store are separate processes; the backend servers run in this process. They log executions to
 * ledger files in a temporary directory, which is kept for inspection.
 */
final class ServiceCluster implements AutoCloseable {
    static final String SERVICE = "counter-desk";

    private static final int IO_THREADS = 3;
    private static final long STORE_TIMEOUT_MS = 5_000;
    private static final long NOTE_TIMEOUT_MS = 10_000;

    /** Policies that the submitted notes may select. No service counts as in use. */
    private static final NoteApplier.Environment NOTE_ENVIRONMENT = new NoteApplier.Environment(
            Set.<ServiceName>of(),
            Set.of("availability", "low-churn", "static", "greedy"),
            Set.of("two-choices", "round-robin", "least-in-flight"));

    private final EventLoopGroup eventLoopGroup =
            new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
    private final Map<String, CrankBackend> backends = new HashMap<>();
    private final List<String> daemonFlags;
    private final LocalCluster cluster;
    private final FleetSampler sampler;
    private final ObjectStore store;

    /** Starts only the store; {@link #startHost} and {@link #startDaemon} start the hosts. */
    ServiceCluster(List<HostSpec> specs, List<String> daemonFlags) {
        this.daemonFlags = List.copyOf(daemonFlags);
        cluster = new LocalCluster(createDirectory(), specs);
        sampler = new FleetSampler(cluster, eventLoopGroup);
        store = PluginRegistry.load().get(Kind.STORE, "http").open(cluster.storeAddress(), STORE_TIMEOUT_MS);
    }

    EventLoopGroup eventLoopGroup() {
        return eventLoopGroup;
    }

    ObjectStore store() {
        return store;
    }

    ClusterHost host(int index) {
        return cluster.host(index);
    }

    /** Returns the addresses at which the daemons of the first hosts accept requests of callers. */
    List<HostAddress> callerAddresses(int hostCount) {
        return cluster.hosts().subList(0, hostCount).stream()
                .map(ClusterHost::callerAddress)
                .toList();
    }

    void startDaemon(ClusterHost host) {
        host.startDaemon(daemonFlags);
    }

    /** Starts the daemon and the backend server of a host; does not wait until they are connected. */
    void startHost(ClusterHost host, List<String> backendFlags) {
        startDaemon(host);
        List<String> flags = new ArrayList<>(List.of(
                "--name=" + host.spec().name(),
                "--service=" + SERVICE,
                "--listen=" + host.backendAddress(),
                "--daemon=" + host.adminAddress(),
                "--ledger-file=" + host.ledgerFile()));
        flags.addAll(backendFlags);
        BackendSettings settings = SettingsLoader.load(new BackendSettings(), flags, Map.of());
        backends.put(host.spec().name(), CrankBackend.start(settings));
    }

    /** Waits until the daemon of a host knows its backend server. */
    void awaitBackend(ClusterHost host) {
        Await.until(
                "backend server of host " + host.spec().name(),
                () -> sampler.status(host).flatMap(DaemonStatus::backendName).isPresent());
    }

    /** Waits until a host serves at least one range. */
    void awaitServing(ClusterHost host) {
        Await.until(
                "served ranges of host " + host.spec().name(),
                () -> sampler.status(host)
                        .map(status -> !status.serving().isEmpty())
                        .orElse(false));
    }

    /** Kills the daemon of a host and closes its backend server. */
    void killHost(ClusterHost host) {
        host.daemon().kill();
        backends.get(host.spec().name()).close();
    }

    /**
     * Submits a release note based on the current revision.
     *
     * @param content JSON fields after the id and the base revision, such as {@code "add":{...}}
     */
    void submitNote(String id, String content) {
        Revision base = store.get(ObjectNames.CONFIGURATION)
                .join()
                .map(object -> object.revision())
                .orElse(Revision.NONE);
        SubmitResult result = new NoteSubmitter(store, () -> NOTE_ENVIRONMENT, NOTE_TIMEOUT_MS)
                .submit("{\"id\":\"" + id + "\",\"basedOn\":" + base + "," + content + "}");
        if (!result.faults().isEmpty() || result.revision().equals(Revision.NONE)) {
            throw new IllegalStateException("release note was rejected: " + result);
        }
    }

    /** Returns the executions of all hosts from their ledger files. */
    List<Execution> executions() {
        return LedgerReader.read(
                cluster.hosts().stream().map(ClusterHost::ledgerFile).toList());
    }

    /** Creates a directory for logs and ledgers, which is kept after the run. */
    static Path createDirectory() {
        try {
            return Files.createTempDirectory("crank-experiment");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        store.close();
        sampler.close();
        cluster.close();
        backends.values().forEach(CrankBackend::close);
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
