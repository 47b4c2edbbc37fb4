package org.coriandercrank.daemon.internal;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.control.ControlPlane;
import org.coriandercrank.control.ControlServices;
import org.coriandercrank.control.ControlStatus;
import org.coriandercrank.control.HostIdentity;
import org.coriandercrank.gate.Gate;
import org.coriandercrank.gate.GateInputs;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.ingress.Ingress;
import org.coriandercrank.ingress.IngressDependencies;
import org.coriandercrank.ingress.IngressOptions;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.backend.BackendServerFactory;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.GateStatus;
import org.coriandercrank.kernel.ownership.KnownMember;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.plugin.PluginRegistry.Kind;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.peer.PeerNetwork;
import org.coriandercrank.peer.PeerOptions;
import org.coriandercrank.placement.PlacementContext;
import org.coriandercrank.placement.Planner;
import org.coriandercrank.placement.PlannerOptions;
import org.coriandercrank.placement.RangeOwnership;
import org.coriandercrank.placement.RangeOwnershipOptions;

/**
 * All parts of a daemon under one member id, from joining to the seal of its record.
 *
 * <p>Thread safe. A daemon whose record was sealed closes its incarnation and builds a new one, so that nothing of the
 * old one can act under the new id.
 */
final class Incarnation implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    /** What all incarnations of a process share. Immutable. */
    record Environment(
            DaemonSettings settings,
            EventLoopGroup group,
            TimerService timers,
            PluginRegistry plugins,
            ObjectStore store,
            MeterRegistry metrics,
            DecisionLog routingLog,
            DecisionLog placementLog) {}

    private final Environment environment;
    private final PeerNetwork peers;
    private final ControlPlane control;
    private final LocalGate gate;
    private final RangeOwnership ownership;
    private final Planner planner;
    private final Ingress ingress;
    private final AtomicReference<BackendInfo> attached = new AtomicReference<>();

    Incarnation(Environment environment, Runnable whenSealed) {
        this.environment = environment;
        DaemonSettings settings = environment.settings();
        PeerHandlers handlers = new PeerHandlers();
        AtomicReference<ControlPlane> controlReference = new AtomicReference<>();
        peers = new PeerNetwork(
                environment.group(),
                settings.peerListen(),
                () -> controlReference.get().self(),
                handlers,
                PeerOptions.DEFAULTS,
                environment.metrics());
        control = ControlPlane.create(controlOptions(settings), identity(settings), controlServices(handlers));
        controlReference.set(control);
        gate = new LocalGate(this::createGate);
        PlacementContext placement = placementContext(handlers);
        ownership = new RangeOwnership(placement, control.lease(), gate, RangeOwnershipOptions.DEFAULTS);
        planner = new Planner(placement, environment.plugins(), PlannerOptions.DEFAULTS);
        ingress = new Ingress(ingressDependencies(handlers), IngressOptions.DEFAULTS);
        control.onSealed((member, reason) -> {
            logger.atWarning().log("event=sealed member=%s reason=\"%s\"", member, reason);
            ownership.seal();
            whenSealed.run();
        });
    }

    void start() {
        ownership.start();
        planner.start();
        control.start();
        ingress.start(environment.settings().callerListen());
        logger.atInfo().log("event=started member=%s", control.self());
    }

    MemberId self() {
        return control.self();
    }

    /**
     * Uses a backend server that announced itself; an unchanged announcement has no effect.
     *
     * <p>The member is announced as owner of the server only after the server answered, or failed to answer, one health
     * call. This call opens connections and loads classes; without it the first grant could exceed its time-out of
     * 300 ms while ranges were already moving here. The health itself is not used, because it may mislead.
     */
    void announce(BackendInfo info) {
        BackendInfo before = attached.getAndSet(info);
        if (info.equals(before)) {
            return;
        }
        BackendServerFactory factory =
                environment.plugins().get(Kind.BACKEND, environment.settings().backendAdapter());
        BackendServer server = factory.connect(info);
        gate.attach(info, server);
        server.health().whenComplete((health, failure) -> {
            if (!info.equals(attached.get())) {
                return;
            }
            control.backendAnnounced(info);
            logger.atInfo().log("event=backend-attached backend=%s service=%s", info.name(), info.service());
        });
    }

    Optional<BackendInfo> backend() {
        return Optional.ofNullable(attached.get());
    }

    boolean hasConfiguration() {
        return control.routing().current().configurationRevision().isNewerThan(Revision.NONE);
    }

    DaemonStatus status() {
        ControlStatus controlStatus = control.status();
        GateStatus gateStatus = gate.status();
        RoutingSnapshot snapshot = control.routing().current();
        Map<ServiceName, Generation> tables = snapshot.tables().values().stream()
                .collect(Collectors.toMap(AssignmentTable::service, AssignmentTable::generation));
        long leaseRemainingMs = (control.lease().validUntilNanos()
                        - environment.timers().clock().nowNanos())
                / NANOS_PER_MS;
        return new DaemonStatus(
                control.self(),
                environment.settings().region(),
                environment.settings().failureDomain(),
                controlStatus.state(),
                snapshot.configurationRevision(),
                tables,
                leaseRemainingMs,
                planner.holdsRole(),
                controlStatus.relay(),
                backend().map(BackendInfo::name),
                gateStatus.queued(),
                gateStatus.inFlight(),
                gateStatus.serving());
    }

    /**
     * A planned stop: ranges move away and requests in flight finish, then the record is sealed. Completes when all is
     * done; the caller bounds the time.
     */
    CompletableFuture<Void> leave() {
        ingress.stopAccepting();
        return control.leave()
                .thenCompose(done -> awaitNoRanges())
                .thenCompose(done -> CompletableFuture.allOf(gate.drain(), ingress.drain()))
                .thenCompose(done -> control.sealSelf());
    }

    private CompletableFuture<Void> awaitNoRanges() {
        return control.routing()
                .await(
                        snapshot -> hasNoRanges(snapshot) || hasNoSuccessor(snapshot),
                        environment.settings().drainTimeoutMs())
                .thenApply(snapshot -> null);
    }

    private boolean hasNoRanges(RoutingSnapshot snapshot) {
        return snapshot.tables().values().stream().noneMatch(table -> table.mentions(control.self()));
    }

    /** Without another server of the service the ranges stay assigned until one joins; waiting is pointless. */
    private boolean hasNoSuccessor(RoutingSnapshot snapshot) {
        Optional<ServiceName> service = backend().map(BackendInfo::service);
        return snapshot.members().values().stream()
                .map(KnownMember::member)
                .filter(member ->
                        member.state() == MemberState.ACTIVE && !member.id().equals(control.self()))
                .noneMatch(member -> member.backend().map(BackendInfo::service).equals(service));
    }

    @Override
    public void close() {
        ingress.close();
        planner.close();
        ownership.close();
        control.close();
        gate.close();
        peers.close();
    }

    private Gate createGate(ServiceName service) {
        return Gate.start(
                new GateInputs(
                        service,
                        control.routing(),
                        control.lease(),
                        environment.timers(),
                        environment.routingLog(),
                        environment.metrics()),
                GateOptions.DEFAULTS);
    }

    private ControlServices controlServices(PeerHandlers handlers) {
        return new ControlServices(
                environment.store(),
                peers,
                handlers,
                environment.timers(),
                environment.placementLog(),
                environment.metrics());
    }

    private PlacementContext placementContext(PeerHandlers handlers) {
        return new PlacementContext(
                control.self(),
                environment.store(),
                control.routing(),
                peers,
                handlers,
                environment.timers(),
                environment.placementLog(),
                environment.metrics());
    }

    private IngressDependencies ingressDependencies(PeerHandlers handlers) {
        return new IngressDependencies(
                environment.group(),
                control.routing(),
                gate,
                peers,
                handlers,
                environment.timers(),
                environment.plugins(),
                environment.routingLog(),
                environment.metrics(),
                environment.settings().region(),
                environment.settings().failureDomain());
    }

    private static ControlOptions controlOptions(DaemonSettings settings) {
        return ControlOptions.DEFAULT.withLease(settings.ttlMs(), settings.heartbeatMs(), settings.marginPercent());
    }

    private static HostIdentity identity(DaemonSettings settings) {
        return new HostIdentity(
                settings.hostName(),
                settings.peerAdvertise(),
                settings.callerListen(),
                settings.adminListen(),
                settings.region(),
                settings.failureDomain());
    }
}
