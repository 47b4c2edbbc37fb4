package org.coriandercrank.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.coriandercrank.control.ControlDependencies;
import org.coriandercrank.control.ControlPlane;
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
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.peer.PeerNetwork;
import org.coriandercrank.placement.PlacementDependencies;

/**
 * All components of a daemon: connections to other daemons, control plane, owner gate, ingress, and the components that
 * belong to the current member id.
 *
 * <p>Thread safe. A daemon whose member record was sealed rejoins under another member id. The gate and the ingress are
 * kept across member ids, so callers keep their connections and the gate keeps its outcome records. The gate gives up the
 * ranges of a member before the next one joins, so that no range is granted under the lease of a member that does not own
 * it. Calls of {@link #replaceMember} must not overlap.
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
     * Creates the components without starting them.
     *
     * @param onSealed called with the member on the control thread after others ended it; must not block
     */
    public DaemonHost(HostOptions options, HostServices services, Consumer<MemberId> onSealed) {
        this.options = options;
        this.services = services;
        AtomicReference<ControlPlane> controlReference = new AtomicReference<>();
        peers = new PeerNetwork(
                services.group(),
                options.peerListen(),
                () -> controlReference.get().self(),
                handlers,
                options.peer(),
                services.uplink(),
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
            onSealed.accept(id);
        });
    }

    /**
     * Starts all components; blocks until the ports are bound.
     *
     * @return the address for callers, with the port that was bound
     */
    public HostAddress start(HostAddress callerListen) {
        if (options.joinsOnStart()) {
            startMember();
        }
        control.start();
        HostAddress callerAddress = ingress.start(callerListen);
        logger.atInfo().log("event=started member=%s", control.self());
        return callerAddress;
    }

    private void startMember() {
        MemberComponents components = new MemberComponents(
                placementDependencies(),
                control.lease(),
                gate,
                services.plugins(),
                options.ownership(),
                options.planner());
        MemberComponents previous = memberComponents.getAndSet(components);
        if (previous != null) {
            previous.close();
        }
        components.start();
    }

    /**
     * Joins under a member id; allowed if the daemon has not joined yet or its previous member has ended.
     *
     * @param mayResume see {@link JoinParameters}
     */
    public CompletableFuture<Void> join(MemberId id, boolean mayResume) {
        return gate.endMember()
                .thenCompose(done -> control.rejoin(new JoinParameters(id, mayResume, gate.awaitRevocations())))
                .thenAccept(joined -> startMember());
    }

    /** Rejoins under a generated member id after the member was sealed, and announces the backend server again. */
    public CompletableFuture<Void> replaceMember() {
        return gate.endMember()
                .thenCompose(done -> control.rejoin())
                .thenAccept(id -> startMember())
                .thenRun(() -> backend().ifPresent(control::backendAnnounced));
    }

    /** Gives up all ranges; a daemon without a member owns none. */
    private void sealOwnership() {
        Optional.ofNullable(memberComponents.get()).ifPresent(MemberComponents::seal);
    }

    /**
     * Gives up all ranges and seals the record of the own member once the backend server can use none of them any more,
     * because others acquire the ranges of a sealed member at once. Completes when the record is sealed.
     */
    public CompletableFuture<Void> sealMember() {
        sealOwnership();
        return gate.endMember().thenCompose(done -> gate.awaitRevocations()).thenCompose(done -> control.sealSelf());
    }

    /**
     * Gives up all ranges and ends the member without sealing its record; the next member of this host takes its
     * ranges over and seals the record.
     */
    public CompletableFuture<Void> abandonMember() {
        sealOwnership();
        return control.abandon();
    }

    /** Replaces the backend server; does not announce it to other daemons. */
    public void attach(BackendInfo info, BackendServer server) {
        attachedBackend.set(info);
        control.backendIdentified(Optional.empty());
        gate.attach(info, server);
    }

    /** Announces the attached backend server to other daemons, so that it can be assigned ranges and requests. */
    public void announce() {
        backend().ifPresent(control::backendAnnounced);
    }

    /**
     * Removes the backend server. Unless {@link #onServerEnded} was called, it counts as the holder of its ranges until it
     * has released them or their grants have expired.
     */
    public void detach() {
        attachedBackend.set(null);
        gate.detach();
    }

    /** Returns the attached backend server. */
    public Optional<BackendInfo> backend() {
        return Optional.ofNullable(attachedBackend.get());
    }

    public MemberId self() {
        return control.self();
    }

    public RoutingView routing() {
        return control.routing();
    }

    /** Whether the daemon has read a configuration. */
    public boolean hasConfiguration() {
        return control.routing().current().configurationRevision().isNewerThan(Revision.NONE);
    }

    /** Returns the state that is shown to operators. */
    public DaemonStatus status() {
        ControlStatus controlStatus = control.status();
        GateStatus gateStatus = gate.status();
        RoutingSnapshot snapshot = control.routing().current();
        Map<ServiceName, Generation> tables = snapshot.tables().values().stream()
                .collect(Collectors.toMap(AssignmentTable::service, AssignmentTable::generation));
        long leaseRemainingMs =
                (control.lease().validUntilNanos() - services.timers().clock().nowNanos()) / NANOS_PER_MS;
        MemberComponents components = memberComponents.get();
        return new DaemonStatus(
                control.self(),
                options.identity().region(),
                options.identity().failureDomain(),
                controlStatus.state(),
                snapshot.configurationRevision(),
                tables,
                leaseRemainingMs,
                components != null && components.holdsPlannerRole(),
                controlStatus.relay(),
                backend().map(BackendInfo::name),
                gateStatus.queued(),
                gateStatus.inFlight(),
                gateStatus.serving());
    }

    /**
     * Sets the member state to leaving, so that the planner moves all ranges to other members; completes when the
     * member record has that state.
     */
    public CompletableFuture<Void> leave() {
        return control.leave();
    }

    /** Notes that the process of the backend server, attached or detached, has ended, so that it holds nothing. */
    public void onServerEnded() {
        gate.onServerEnded();
    }

    /** Notes that the attached backend server is said to have started again; it may hold what it was granted. */
    public void onServerRestarted() {
        gate.onServerRestarted();
    }

    /**
     * Notes that the process at the address of the attached backend server has stated the server's id, so that servers of
     * other ids at this host have ended. Holds until the next {@link #attach}.
     */
    public void onServerIdentified() {
        control.backendIdentified(backend().map(BackendInfo::name));
    }

    /** Notes that the backend server announced its end; it still receives requests. */
    public void onServerLeaving() {
        gate.onServerLeaving();
    }

    /** Whether a member is the current one and leaving, as of at most one tick ago. */
    public boolean isLeaving(MemberId member) {
        ControlStatus status = control.status();
        return status.memberId().equals(member) && status.state() == MemberState.LEAVING;
    }

    /** Stops sending requests to the backend server, which is about to end. */
    public void stopSending() {
        gate.stopSending();
    }

    /**
     * Rejects new requests to the backend server; completes when no request to it is queued or in flight and its answers
     * have been sent.
     */
    public CompletableFuture<Void> drainGate() {
        return gate.drain().thenCompose(done -> services.uplink().whenIdle());
    }

    /** Continues to serve callers, but closes each of their connections with its next response. */
    public void disableKeepAlive() {
        ingress.disableKeepAlive();
    }

    /** Stops accepting connections from callers. */
    public void stopAccepting() {
        ingress.stopAccepting();
    }

    /** Rejects new requests from callers; completes when all earlier requests are answered. */
    public CompletableFuture<Void> drainIngress() {
        return ingress.drain();
    }

    /**
     * Completes when no assignment table references this member, when no other member can take over its ranges, or
     * after the timeout.
     */
    public CompletableFuture<Void> awaitNoRanges(long timeoutMs) {
        return control.routing()
                .await(snapshot -> hasNoRanges(snapshot) || hasNoSuccessor(snapshot), timeoutMs)
                .thenApply(snapshot -> null);
    }

    private boolean hasNoRanges(RoutingSnapshot snapshot) {
        return snapshot.tables().values().stream().noneMatch(table -> table.references(control.self()));
    }

    /**
     * Whether no other active member has a backend server of the service. The ranges then stay assigned to this member
     * until such a member joins, so waiting for their move is pointless.
     */
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
                        services.leaseClock(),
                        services.routingLog(),
                        services.metrics(),
                        services.executors(),
                        control.quarantine(),
                        services.uplink()),
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

    private PlacementDependencies placementDependencies() {
        return new PlacementDependencies(
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
                services.executors(),
                control.quarantine(),
                control.configurationProof(),
                services.leaseClock(),
                services.uplink());
    }
}
