package org.coriandercrank.daemon.ownership;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.coriandercrank.control.ControlDependencies;
import org.coriandercrank.control.HostIdentity;
import org.coriandercrank.control.JoinParameters;
import org.coriandercrank.control.internal.ControlContext;
import org.coriandercrank.control.internal.ControlLoop;
import org.coriandercrank.daemon.AssignedRanges;
import org.coriandercrank.daemon.HeartbeatGrants;
import org.coriandercrank.daemon.HeartbeatGrants.Renewal;
import org.coriandercrank.daemon.MemberLifecycle;
import org.coriandercrank.daemon.MemberLifecycle.Action;
import org.coriandercrank.daemon.RowLimit;
import org.coriandercrank.daemon.ServerIncarnation;
import org.coriandercrank.daemon.internal.LocalGate;
import org.coriandercrank.daemon.internal.MemberComponents;
import org.coriandercrank.gate.Gate;
import org.coriandercrank.gate.GateDependencies;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.placement.PlacementDependencies;
import org.coriandercrank.placement.internal.PolicyPlugin;
import org.coriandercrank.scheduling.link.Uplink;

/**
 * One process of a daemon on the users' platform: its control plane, gate, range ownership and planner, connected as in the
 * product's daemon but without sockets. Not thread safe; everything runs in its {@link SimulatedProcess}.
 */
final class SimulatedDaemon {
    private static final PluginRegistry PLUGINS = placementPolicies();
    private static final int TASK_QUEUE_CAPACITY = 16_384;
    private static final long LIFECYCLE_TICK_MS = 100;
    private static final int MAX_ROWS = 165;
    private static final int SLOTS = 8;
    private static final int LOG_LINES_PER_SECOND = 100_000;

    private record AttachedServer(ServerIncarnation server, MemberId member) {}

    private record GrantedServer(ServerIncarnation server, HeartbeatGrants grants) {}

    private static final long IDENTIFICATION_MS = 1;

    private final SimulatedProcess process;

    /** Id of the server that answers at the address of this host's server. */
    private final Supplier<Optional<String>> serverAtAddress;

    private final HostIdentity identity;
    private final ServiceName service;
    private final ObjectStore store;
    private final TimerService timers;
    private final PeerHandlers handlers = new PeerHandlers();
    private final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
    private final SerialExecutor.Factory executors;
    private final SerialExecutor lifecycle;
    private final PeerClient peers;
    private final ControlLoop control;
    private final LocalGate gate;
    private final DecisionLog log;
    private final MemberLifecycle memberLifecycle;
    private Optional<MemberComponents> components = Optional.empty();
    private Optional<AttachedServer> attached = Optional.empty();
    private Optional<GrantedServer> granted = Optional.empty();
    private Optional<BackendInfo> backend = Optional.empty();
    private CompletableFuture<Void> lastStep = CompletableFuture.completedFuture(null);

    SimulatedDaemon(
            SimulatedProcess process,
            HostIdentity identity,
            ServiceName service,
            ObjectStore store,
            SimulatedNetwork network,
            Random random,
            Trace trace,
            Supplier<Optional<String>> serverAtAddress) {
        this.process = process;
        this.serverAtAddress = serverAtAddress;
        this.identity = identity;
        this.service = service;
        this.store = store;
        timers = process.timers();
        executors = process.executors();
        lifecycle = executors.create("lifecycle", TASK_QUEUE_CAPACITY);
        log = new DecisionLog(trace.isEnabled() ? LOG_LINES_PER_SECOND : 0, timers.clock());
        peers = network.listen(identity.peerAddress(), process, handlers, this::self);
        ControlDependencies dependencies =
                new ControlDependencies(store, peers, handlers, timers, log, metrics, timers.clock(), executors);
        control = new ControlLoop(
                new ControlContext(
                        SimulationOptions.CONTROL,
                        identity,
                        dependencies,
                        executors.create("control", TASK_QUEUE_CAPACITY),
                        random),
                Optional.empty());
        gate = new LocalGate(this::createGate);
        memberLifecycle =
                new MemberLifecycle(SimulationOptions.LIFECYCLE, timers.clock().nowNanos());
        control.addIncarnationListener((member, reason) -> {
            components.ifPresent(MemberComponents::seal);
            lifecycle.offer(() -> onMemberSealed(member));
        });
    }

    private static PluginRegistry placementPolicies() {
        PluginRegistry registry = new PluginRegistry();
        new PolicyPlugin().register(registry);
        return registry;
    }

    void start() {
        control.start();
        timers.every(LIFECYCLE_TICK_MS, lifecycle, this::tick);
    }

    SimulatedProcess process() {
        return process;
    }

    MemberId self() {
        return control.self();
    }

    RoutingView routing() {
        return control.routing();
    }

    private long nowNanos() {
        return timers.clock().nowNanos();
    }

    /** Handles a heartbeat of the server of this host. */
    void onHeartbeat(SimulatedServer.Heartbeat heartbeat) {
        lifecycle.offer(() -> perform(memberLifecycle.onHeartbeat(
                heartbeat.server(), heartbeat.sequence(), heartbeat.leaving(), nowNanos())));
        Optional<Renewal> renewal = granted.filter(a -> a.server().equals(heartbeat.server()))
                .flatMap(a -> a.grants().onHeartbeat(heartbeat.sequence(), heartbeat.held(), heartbeat.released()));
        heartbeat.reply().accept(renewal);
    }

    private void tick() {
        perform(memberLifecycle.onTick(nowNanos()));
        attached.filter(a -> !memberLifecycle.isLeaving() && isLeaving(a.member()))
                .ifPresent(a -> perform(memberLifecycle.onLeavingStated(a.server(), nowNanos())));
    }

    private void onMemberSealed(MemberId member) {
        if (attached.isEmpty() || attached.get().member().equals(member)) {
            perform(memberLifecycle.onMemberSealed(nowNanos()));
        }
    }

    private boolean isLeaving(MemberId member) {
        return control.status().memberId().equals(member) && control.status().state() == MemberState.LEAVING;
    }

    private void perform(List<Action> actions) {
        for (Action action : actions) {
            log.log(() -> "event=server-watch action=" + action);
            if (action instanceof Action.Attach attach) {
                attach(attach);
            } else if (action instanceof Action.Identify identify) {
                timers.once(
                        IDENTIFICATION_MS,
                        lifecycle,
                        () -> perform(
                                memberLifecycle.onIdentified(identify.server(), serverAtAddress.get(), nowNanos())));
            } else if (action instanceof Action.Identified) {
                control.backendIdentified(backend.map(BackendInfo::name));
            } else if (action instanceof Action.ServerRestarted) {
                gate.onServerRestarted();
            } else if (action instanceof Action.ServerEnded) {
                gate.onServerEnded();
            } else if (action instanceof Action.Detach detach) {
                attached = Optional.empty();
                backend = Optional.empty();
                gate.detach();
                enqueueStep(() -> {
                    components.ifPresent(MemberComponents::seal);
                    return detach.replaced() ? control.abandon() : sealMember();
                });
            } else if (action instanceof Action.Leave) {
                gate.onServerLeaving();
                enqueueStep(() -> {
                    control.leave();
                    return CompletableFuture.completedFuture(null);
                });
            } else if (action instanceof Action.Drain) {
                gate.stopSending();
            } else if (action instanceof Action.JoinAlone) {
                MemberId alone =
                        new MemberId(identity.name() + "-alone-" + Long.toString(nowNanos(), Character.MAX_RADIX));
                enqueueStep(() -> join(alone, true));
            }
        }
    }

    private void attach(Action.Attach attach) {
        ServerIncarnation server = attach.server();
        if (granted.filter(g -> g.server().equals(server)).isEmpty()) {
            granted = Optional.of(new GrantedServer(
                    server,
                    new HeartbeatGrants(
                            timers.clock(),
                            timers.clock(),
                            SimulationOptions.TTL_MS,
                            RowLimit.ofCount(MAX_ROWS),
                            () -> AssignedRanges.of(control.routing().current(), service))));
        }
        BackendInfo info = new BackendInfo(
                server.id(), service, identity.peerAddress(), SLOTS, 2 * SLOTS, SimulationOptions.CAPABILITIES);
        backend = Optional.of(info);
        control.backendIdentified(Optional.empty());
        gate.attach(info, new GrantOnlyBackendServer(granted.orElseThrow().grants()));
        MemberId member = new MemberId(identity.name() + "-" + server.id() + "-"
                + Long.toString(server.bornMs(), Character.MAX_RADIX) + "-" + attach.life());
        attached = Optional.of(new AttachedServer(server, member));
        enqueueStep(() -> delay(attach.joinAfterMs()));
        enqueueStep(() -> join(member, true));
        enqueueStep(() -> {
            backend.ifPresent(control::backendAnnounced);
            return CompletableFuture.completedFuture(null);
        });
    }

    private CompletableFuture<Void> delay(long delayMs) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        timers.once(delayMs, lifecycle, () -> elapsed.complete(null));
        return elapsed;
    }

    private CompletableFuture<Void> sealMember() {
        return gate.endMember().thenCompose(done -> gate.awaitRevocations()).thenCompose(done -> control.sealSelf());
    }

    private CompletableFuture<Void> join(MemberId id, boolean mayResume) {
        return gate.endMember()
                .thenCompose(done -> control.rejoin(new JoinParameters(id, mayResume, gate.awaitRevocations())))
                .thenAccept(joined -> startMember());
    }

    private void startMember() {
        MemberComponents next = new MemberComponents(
                placementDependencies(),
                control.lease(),
                gate,
                PLUGINS,
                SimulationOptions.OWNERSHIP,
                SimulationOptions.PLANNER);
        components.ifPresent(MemberComponents::close);
        components = Optional.of(next);
        next.start();
    }

    private PlacementDependencies placementDependencies() {
        return new PlacementDependencies(
                control.self(), store, control.routing(), peers, handlers, timers, log, metrics, executors);
    }

    private Gate createGate(ServiceName name) {
        return Gate.start(
                new GateDependencies(
                        name,
                        control.routing(),
                        control.lease(),
                        timers,
                        timers.clock(),
                        log,
                        metrics,
                        executors,
                        control.quarantine(),
                        Uplink.UNLIMITED),
                SimulationOptions.GATE);
    }

    private void enqueueStep(Supplier<CompletableFuture<Void>> step) {
        lastStep = lastStep.handle((done, failure) -> null).thenComposeAsync(done -> step.get(), lifecycle);
    }
}
