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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.coriandercrank.http.HttpServer;
import org.coriandercrank.http.HttpServerOptions;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.plugin.PluginRegistry.Kind;
import org.coriandercrank.kernel.ring.DutyThread;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.time.SystemTimerService;
import org.coriandercrank.kernel.time.TimerService;

/**
 * A daemon process: one incarnation at a time, and the admin endpoint that outlives them.
 *
 * <p>Thread safe; the change of incarnations runs on the duty thread {@code lifecycle}.
 */
public final class Daemon implements AdminEndpoint.Source, AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int RING_CAPACITY = 64;
    private static final int PLACEMENT_LOG_LINES_PER_SECOND = 1_000;

    private final DaemonSettings settings;
    private final DutyThread lifecycle = new DutyThread("lifecycle", RING_CAPACITY);
    private final TimerService timers = new SystemTimerService();
    private final EventLoopGroup group;
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Incarnation.Environment environment;
    private final HttpServer admin;
    private volatile Incarnation incarnation;
    private volatile boolean leaving;

    /** Starts a daemon; blocks until its ports are bound. */
    public Daemon(DaemonSettings settings) {
        this.settings = settings;
        group = new MultiThreadIoEventLoopGroup(settings.ioThreads(), NioIoHandler.newFactory());
        PluginRegistry plugins = PluginRegistry.load();
        ObjectStore store =
                plugins.get(Kind.STORE, settings.storeAdapter()).open(settings.store(), settings.storeTimeoutMs());
        environment = new Incarnation.Environment(
                settings,
                group,
                timers,
                plugins,
                store,
                metrics,
                new DecisionLog(settings.routingLogLinesPerSecond(), timers.clock()),
                new DecisionLog(PLACEMENT_LOG_LINES_PER_SECOND, timers.clock()));
        new JvmMemoryMetrics().bindTo(metrics);
        new ProcessorMetrics().bindTo(metrics);
        incarnation = create();
        admin = HttpServer.listen(
                group, settings.adminListen(), HttpServerOptions.DEFAULTS, new AdminEndpoint(() -> this, metrics));
        incarnation.start();
    }

    @Override
    public DaemonStatus status() {
        return incarnation.status();
    }

    @Override
    public Readiness readiness() {
        if (leaving) {
            return Readiness.DRAINING;
        }
        return incarnation.hasConfiguration() ? Readiness.READY : Readiness.STARTING;
    }

    @Override
    public void announce(BackendInfo info) {
        incarnation.announce(info);
    }

    /** A planned stop, bounded by the drain time-out of the settings; blocks. */
    public void leave() {
        leaving = true;
        logger.atInfo().log("event=leaving member=%s", incarnation.self());
        try {
            incarnation.leave().get(settings.drainTimeoutMs(), TimeUnit.MILLISECONDS);
            logger.atInfo().log("event=left member=%s", incarnation.self());
        } catch (TimeoutException e) {
            logger.atWarning().log("event=leave-timeout member=%s", incarnation.self());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException e) {
            logger.atWarning().withCause(CrankException.of(e)).log("event=leave-failed");
        }
    }

    private Incarnation create() {
        return new Incarnation(environment, () -> lifecycle.offer(this::replace));
    }

    private void replace() {
        if (leaving) {
            return;
        }
        Incarnation old = incarnation;
        Optional<BackendInfo> backend = old.backend();
        old.close();
        Incarnation next = create();
        backend.ifPresent(next::announce);
        next.start();
        incarnation = next;
    }

    @Override
    public void close() {
        lifecycle.close();
        admin.close();
        incarnation.close();
        environment.store().close();
        timers.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
