package org.coriandercrank.daemon.internal;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.control.HostIdentity;
import org.coriandercrank.daemon.DaemonHost;
import org.coriandercrank.daemon.HostOptions;
import org.coriandercrank.daemon.HostServices;
import org.coriandercrank.http.HttpServer;
import org.coriandercrank.http.HttpServerOptions;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.backend.ProbeResult;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.plugin.PluginRegistry.Kind;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.BackendInfo.Capability;
import org.coriandercrank.kernel.time.SystemTimerService;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.scheduling.link.Uplink;

/**
 * The process of the program {@code crankd}: a {@link DaemonHost} with the product's own adapters and admin endpoint.
 *
 * <p>Thread safe; a sealed member is replaced on the executor {@code lifecycle}.
 */
public final class Daemon implements AdminEndpoint.Operations, AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int TASK_QUEUE_CAPACITY = 64;

    /** Interval between probes of the backend server. */
    private static final long PROBE_INTERVAL_MS = 250;

    /** Time in which another daemon notices a silent connection, connects again and queries an outcome. */
    private static final long OUTCOME_QUERY_PERIOD_MS = 1_500;

    private static final int PLACEMENT_LOG_LINES_PER_SECOND = 1_000;

    private final DaemonSettings settings;
    private final SingleThreadExecutor lifecycle = new SingleThreadExecutor("lifecycle", TASK_QUEUE_CAPACITY);
    private final TimerService timers = new SystemTimerService();
    private final EventLoopGroup group;
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final PluginRegistry plugins = PluginRegistry.load();
    private final ObjectStore store;
    private final HttpServer admin;
    private final DaemonHost host;
    private volatile boolean leaving;

    /** The attached backend server; accessed only on the lifecycle executor, as are the fields below. */
    private Optional<MonitoredServer> monitored = Optional.empty();

    private boolean probePending;

    /** Whether the member has ended and its replacement has not joined yet. */
    private boolean replacementPending;

    /** A backend server and its failure detector. */
    private record MonitoredServer(BackendInfo info, BackendServer server, BackendFailureDetector failureDetector) {}

    /** Starts a daemon; blocks until its ports are bound. */
    public Daemon(DaemonSettings settings) {
        this.settings = settings;
        group = new MultiThreadIoEventLoopGroup(settings.ioThreads(), NioIoHandler.newFactory());
        store = plugins.get(Kind.STORE, settings.storeAdapter()).open(settings.store(), settings.storeTimeoutMs());
        new JvmMemoryMetrics().bindTo(metrics);
        new ProcessorMetrics().bindTo(metrics);
        host = new DaemonHost(hostOptions(settings), hostServices(), member -> lifecycle.offer(this::onSealed));
        admin = HttpServer.listen(
                group, settings.adminListen(), HttpServerOptions.DEFAULTS, new AdminEndpoint(() -> this, metrics));
        host.start(settings.callerListen());
        timers.every(PROBE_INTERVAL_MS, lifecycle, this::probeServer);
    }

    private HostServices hostServices() {
        return new HostServices(
                group,
                timers,
                plugins,
                store,
                metrics,
                new DecisionLog(settings.routingLogLinesPerSecond(), timers.clock()),
                new DecisionLog(PLACEMENT_LOG_LINES_PER_SECOND, timers.clock()),
                timers.clock(),
                settings.linkMbitPerSecond() > 0 ? new Uplink(settings.linkMbitPerSecond(), timers) : Uplink.UNLIMITED,
                SingleThreadExecutor::new);
    }

    private static HostOptions hostOptions(DaemonSettings settings) {
        HostIdentity identity = new HostIdentity(
                settings.hostName(),
                settings.peerAdvertise(),
                settings.callerListen(),
                settings.adminListen(),
                settings.region(),
                settings.failureDomain());
        return HostOptions.defaults(
                identity,
                settings.peerListen(),
                ControlOptions.DEFAULTS
                        .withLeaseTiming(settings.ttlMs(), settings.heartbeatMs(), settings.marginPercent())
                        .withWatchWaits(
                                settings.watchWaitMs(),
                                settings.configurationWatchWaitMs(),
                                settings.startupWatchMs()));
    }

    @Override
    public DaemonStatus status() {
        return host.status();
    }

    @Override
    public Readiness readiness() {
        if (leaving) {
            return Readiness.DRAINING;
        }
        return host.hasConfiguration() ? Readiness.READY : Readiness.STARTING;
    }

    /**
     * Attaches a backend server that announced itself. A repeated, unchanged announcement only resets the failure
     * detector.
     *
     * <p>The server is announced to other daemons only after one health call has completed or failed. This call opens
     * connections and loads classes; without it the first grant could exceed its timeout of 300 ms while ranges are
     * already being moved to this daemon. The reported health itself is ignored, because it may be wrong.
     */
    @Override
    public void announce(BackendInfo info) {
        if (host.backend().equals(Optional.of(info))) {
            lifecycle.offer(() ->
                    monitored.ifPresent(current -> current.failureDetector().onAnnounced()));
            return;
        }
        BackendServer server =
                plugins.get(Kind.BACKEND, settings.backendAdapter()).connect(info);
        host.attach(info, server);
        boolean honoursValidity = info.capabilities().contains(Capability.VALIDITY);
        lifecycle.execute(() -> monitored =
                Optional.of(new MonitoredServer(info, server, new BackendFailureDetector(honoursValidity))));
        server.health().whenComplete((health, failure) -> {
            if (host.backend().equals(Optional.of(info))) {
                host.announce();
                logger.atInfo().log("event=backend-attached backend=%s service=%s", info.name(), info.service());
            }
        });
    }

    /** Shuts down gracefully; blocks, for the drain timeout of the settings at most. */
    public void leave() {
        leaving = true;
        logger.atInfo().log("event=leaving member=%s", host.self());
        try {
            shutDownGracefully().get(settings.drainTimeoutMs(), TimeUnit.MILLISECONDS);
            logger.atInfo().log("event=left member=%s", host.self());
        } catch (TimeoutException e) {
            logger.atWarning().log("event=leave-timeout member=%s", host.self());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException e) {
            logger.atWarning().withCause(CrankException.of(e)).log("event=leave-failed");
        }
    }

    /**
     * Waits until all ranges have moved to other members and all requests are answered, then seals the member record.
     * In between it stays available for {@link #OUTCOME_QUERY_PERIOD_MS}: only this daemon can tell the outcome of a
     * request that was sent to it over a connection that had become silent. The caller limits the total time.
     */
    private CompletableFuture<Void> shutDownGracefully() {
        host.stopAccepting();
        return host.leave()
                .thenCompose(done -> host.awaitNoRanges(settings.drainTimeoutMs()))
                .thenCompose(done -> CompletableFuture.allOf(host.drainGate(), host.drainIngress()))
                .thenCompose(done -> delay(OUTCOME_QUERY_PERIOD_MS))
                .thenCompose(done -> host.sealMember());
    }

    private CompletableFuture<Void> delay(long delayMs) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        timers.once(delayMs, lifecycle, () -> elapsed.complete(null));
        return elapsed;
    }

    private void probeServer() {
        if (probePending || monitored.isEmpty()) {
            return;
        }
        MonitoredServer probed = monitored.orElseThrow();
        probePending = true;
        probed.server()
                .probe()
                .whenComplete((result, failure) -> lifecycle.execute(() -> {
                    probePending = false;
                    onProbeResult(probed, failure == null ? result : ProbeResult.SILENT);
                }));
    }

    private void onProbeResult(MonitoredServer probed, ProbeResult result) {
        if (leaving || !monitored.equals(Optional.of(probed))) {
            return;
        }
        probed.failureDetector()
                .onProbeResult(result, timers.clock().nowNanos())
                .ifPresent(failure -> detachServer(probed.info(), failure));
    }

    /**
     * Detaches a failed server and ends its member, so that other members take its ranges over. The next member owns no
     * ranges until a server announces itself again.
     */
    private void detachServer(BackendInfo info, BackendFailureDetector.Failure failure) {
        logger.atWarning().log("event=backend-lost backend=%s member=%s reason=%s", info.name(), host.self(), failure);
        monitored = Optional.empty();
        if (failure == BackendFailureDetector.Failure.CONNECTIONS_REFUSED) {
            host.onServerEnded();
        }
        host.detach();
        if (!replacementPending) {
            replacementPending = true;
            host.sealMember().whenComplete((done, thrown) -> lifecycle.offer(this::replaceMember));
        }
    }

    private void onSealed() {
        if (!replacementPending) {
            replacementPending = true;
            replaceMember();
        }
    }

    private void replaceMember() {
        if (leaving) {
            return;
        }
        host.replaceMember().whenComplete((done, failure) -> {
            if (failure != null) {
                logger.atSevere().withCause(failure).log("event=rejoin-failed");
            }
            lifecycle.offer(() -> replacementPending = false);
        });
    }

    @Override
    public void close() {
        lifecycle.close();
        admin.close();
        host.close();
        store.close();
        timers.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
