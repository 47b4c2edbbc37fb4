package org.coriandercrank.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.coriandercrank.control.ControlPlane;
import org.coriandercrank.control.ControlDependencies;
import org.coriandercrank.control.ControlStatus;
import org.coriandercrank.control.JoinParameters;
import org.coriandercrank.daemon.internal.LocalGate;
import org.coriandercrank.daemon.internal.MemberComponents;
import org.coriandercrank.gate.Gate;
import org.coriandercrank.gate.GateDependencies;
import org.coriandercrank.ingress.Ingress;
import org.coriandercrank.ingress.IngressDependencies;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.GateStatus;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.peer.PeerNetwork;
import org.coriandercrank.placement.PlacementContext;

/**
 * All parts of a daemon: links to other daemons, control plane, owner gate, caller side, and the parts that belong to the
 * present member id.
 *
 * <p>Thread safe. A daemon whose member was sealed or retired joins again under another id. The gate and the caller side
 * outlive the member, so callers keep their connections and the gate its memory of requests. The caller runs
 * {@link #replaceMember} on one thread at a time.
 */
public final class DaemonHost implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    private final HostOptions options;
    private final HostServices services;
    private final PeerHandlers handlers = new PeerHandlers();
    private final PeerNetwork peers;
    private final ControlPlane control;
    private final LocalGate gate;
    private final Ingress ingress;
    private final AtomicReference<MemberComponents> memberComponents = new AtomicReference<>();
    private final AtomicReference<BackendInfo> attachedBackend = new AtomicReference<>();

    /**
     * Makes the parts without starting them.
     *
     * @param whenSealed called on the control thread when others sealed the member; must not block
     */
    public DaemonHost(HostOptions options, HostServices services, Runnable whenSealed) {
        this.options = options;
        this.services = services;
        AtomicReference<ControlPlane> controlReference = new AtomicReference<>();
        peers = new PeerNetwork(
                services.group(),
                options.peerListen(),
                () -> controlReference.get().self(),
                handlers,
                options.peer(),
                services.metrics());
        control = options.joinsOnStart()
                ? ControlPlane.create(options.control(), options.identity(), controlDependencies())
                : ControlPlane.createWithDeferredJoin(options.control(), options.identity(), controlDependencies());
        controlReference.set(control);
        gate = new LocalGate(this::createGate);
        ingress = new Ingress(ingressDependencies(), options.ingress());
        control.addIncarnationListener((id, reason) -> {
            logger.atWarning().log("event=sealed member=%s reason=\"%s\"", id, reason);
            sealOwnership();
            whenSealed.run();
        });
    }

    /** Starts all parts; blocks until the ports are bound. Returns the address for callers with the port in use. */
    public HostAddress start(HostAddress callerListen) {
        if (options.joinsOnStart()) {
            startMember();
        }
        control.start();
        HostAddress callers = ingress.start(callerListen);
        logger.atInfo().log("event=started member=%s", control.self());
        return callers;
    }

    private void startMember() {
        MemberComponents parts = new MemberComponents(
                placementContext(), control.lease(), gate, services.plugins(), options.ownership(), options.planner());
        MemberComponents former = memberComponents.getAndSet(parts);
        if (former != null) {
            former.close();
        }
        parts.start();
    }

    /** Joins under an id; for a daemon that does not join at once, and after the former member has ended. */
    public CompletableFuture<Void> join(JoinParameters choice) {
        return control.rejoin(choice).thenAccept(id -> startMember());
    }

    /** Joins again under a generated id after others sealed the member; announces the backend server again. */
    public CompletableFuture<Void> replaceMember() {
        return control.rejoin()
                .thenAccept(id -> startMember())
                .thenRun(() -> backend().ifPresent(control::backendAnnounced));
    }

    /** Gives up all ranges; nothing is held by a host without a member. */
    private void sealOwnership() {
        Optional.ofNullable(memberComponents.get()).ifPresent(MemberComponents::seal);
    }

    /** Gives up all ranges and seals the own record; completes when it is sealed. */
    public CompletableFuture<Void> sealMember() {
        sealOwnership();
        return control.sealSelf();
    }

    /** Ends the member at once; the next one takes its ranges over and seals its record. */
    public CompletableFuture<Void> abandonMember() {
        sealOwnership();
        return control.abandon();
    }

    /** Uses a backend server in place of the one before, without announcing it. */
    public void attach(BackendInfo info, BackendServer server) {
        attachedBackend.set(info);
        gate.attach(info, server);
    }

    /** Announces the attached backend server, so that it may get ranges and requests. */
    public void announce() {
        backend().ifPresent(control::backendAnnounced);
    }

    /** Drops the backend server, which has certainly ended or whose grants have certainly lapsed. */
    public void detach() {
        attachedBackend.set(null);
        gate.detach();
    }

    public Optional<BackendInfo> backend() {
        return Optional.ofNullable(attachedBackend.get());
    }

    public MemberId self() {
        return control.self();
    }

    public RoutingView routing() {
        return control.routing();
    }

    public boolean hasConfiguration() {
        return control.routing().current().configurationRevision().isNewerThan(Revision.NONE);
    }

    /** State for operators. */
    public DaemonStatus status() {
        ControlStatus controlStatus = control.status();
        GateStatus gateStatus = gate.status();
        RoutingSnapshot snapshot = control.routing().current();
        Map<ServiceName, Generation> tables = snapshot.tables().values().stream()
                .collect(Collectors.toMap(AssignmentTable::service, AssignmentTable::generation));
        long leaseRemainingMs =
                (control.lease().validUntilNanos() - services.timers().clock().nowNanos()) / NANOS_PER_MS;
        MemberComponents parts = memberComponents.get();
        return new DaemonStatus(
                control.self(),
                options.identity().region(),
                options.identity().failureDomain(),
                controlStatus.state(),
                snapshot.configurationRevision(),
                tables,
                leaseRemainingMs,
                parts != null && parts.holdsPlannerRole(),
                controlStatus.relay(),
                backend().map(BackendInfo::name),
                gateStatus.queued(),
                gateStatus.inFlight(),
                gateStatus.serving());
    }

    /** Asks the planner to move all ranges away; done when the record says so. */
    public CompletableFuture<Void> leave() {
        return control.leave();
    }

    /** Sends the backend server no further request; it is about to end. */
    public void stopSending() {
        gate.stopSending();
    }

    /** Takes no new work for the backend server; completes when nothing is queued or in flight there. */
    public CompletableFuture<Void> drainGate() {
        return gate.drain();
    }

    /** Serves on, and asks callers to close their connections with the next answer. */
    public void disableKeepAlive() {
        ingress.disableKeepAlive();
    }

    /** Accepts no further connections of callers. */
    public void stopAccepting() {
        ingress.stopAccepting();
    }

    /** Refuses new requests of callers; completes when the earlier ones are answered. */
    public CompletableFuture<Void> drainIngress() {
        return ingress.drain();
    }

    /** Completes when no table mentions this member, or nobody else could take its ranges, or after a time. */
    public CompletableFuture<Void> awaitNoRanges(long waitMs) {
        return control.routing()
                .await(snapshot -> hasNoRanges(snapshot) || hasNoSuccessor(snapshot), waitMs)
                .thenApply(snapshot -> null);
    }

    private boolean hasNoRanges(RoutingSnapshot snapshot) {
        return snapshot.tables().values().stream().noneMatch(table -> table.references(control.self()));
    }

    /** Without another server of the service the ranges stay assigned until one joins; waiting is pointless. */
    private boolean hasNoSuccessor(RoutingSnapshot snapshot) {
        Optional<ServiceName> service = backend().map(BackendInfo::service);
        return snapshot.members().values().stream()
                .map(VersionedMember::member)
                .filter(other ->
                        other.state() == MemberState.ACTIVE && !other.id().equals(control.self()))
                .noneMatch(other -> other.backend().map(BackendInfo::service).equals(service));
    }

    @Override
    public void close() {
        ingress.close();
        Optional.ofNullable(memberComponents.get()).ifPresent(MemberComponents::close);
        control.close();
        gate.close();
        peers.close();
    }

    private Gate createGate(ServiceName service) {
        return Gate.start(
                new GateDependencies(
                        service,
                        control.routing(),
                        control.lease(),
                        services.timers(),
                        services.routingLog(),
                        services.metrics(),
                        services.executors()),
                options.gate());
    }

    private ControlDependencies controlDependencies() {
        return new ControlDependencies(
                services.store(),
                peers,
                handlers,
                services.timers(),
                services.placementLog(),
                services.metrics(),
                services.leaseClock(),
                services.executors());
    }

    private PlacementContext placementContext() {
        return new PlacementContext(
                control.self(),
                services.store(),
                control.routing(),
                peers,
                handlers,
                services.timers(),
                services.placementLog(),
                services.metrics(),
                services.executors());
    }

    private IngressDependencies ingressDependencies() {
        return new IngressDependencies(
                services.group(),
                control.routing(),
                gate,
                peers,
                handlers,
                services.timers(),
                services.plugins(),
                services.routingLog(),
                services.metrics(),
                options.identity().region(),
                options.identity().failureDomain(),
                options.protocol(),
                services.executors());
    }
}
