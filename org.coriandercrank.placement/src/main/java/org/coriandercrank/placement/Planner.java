package org.coriandercrank.placement;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.placement.PlacementPolicy;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.placement.internal.LoadCollector;
import org.coriandercrank.placement.internal.MemberCleaner;
import org.coriandercrank.placement.internal.MemberLookup;
import org.coriandercrank.placement.internal.PlacementMeters;
import org.coriandercrank.placement.internal.PlannerElection;
import org.coriandercrank.placement.internal.PlannerRole;
import org.coriandercrank.placement.internal.RebalancePolicy;
import org.coriandercrank.placement.internal.RebalanceParameters;
import org.coriandercrank.placement.internal.TablePlanner;
import org.coriandercrank.placement.internal.ServicePlanningState;
import org.coriandercrank.placement.internal.TableBuilder;
import org.coriandercrank.placement.internal.TableWriter;

/**
 * Holds the planner role when it is free, and then places the ranges of every keyed service.
 *
 * <p>Thread safe. All state is touched only on the duty thread {@code planner}. Any number of planners may run at once:
 * each table is written only by a conditional write on the revision that the decision was made on.
 */
public final class Planner implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int RING_CAPACITY = 16_384;
    private static final long POST_RETRY_MS = 1;
    private static final long WRITE_RETRY_MS = 200;
    private static final long LOAD_ANSWER_DIVISOR = 4;
    private static final long IMBALANCE_TARGET_PERCENT = 125;

    private final PlacementContext context;
    private final PluginRegistry plugins;
    private final PlannerOptions options;
    private final SerialExecutor duty;
    private final PlannerRole role;
    private volatile boolean holdsRole;
    private final LoadCollector loadCollector;
    private final TableWriter writer;
    private final MemberCleaner cleaner;
    private final MemberLookup lookup;
    private final PlacementMeters meters;
    private final PlacementPolicy fallbackPolicy = new RebalancePolicy(RebalanceParameters.AVAILABILITY);
    private final Map<ServiceName, ServicePlanningState> serviceStates = new HashMap<>();
    private final AtomicLong inputCount = new AtomicLong();
    private TimerService.Subscription tick = () -> {};
    private TimerService.Subscription loadTick = () -> {};

    public Planner(PlacementContext context, PluginRegistry plugins, PlannerOptions options) {
        this.context = context;
        duty = context.duties().create("planner", RING_CAPACITY);
        this.plugins = plugins;
        this.options = options;
        PlannerElection.Options delays = new PlannerElection.Options(
                options.renewIntervalMs(),
                options.roleTimeoutMs(),
                options.rankDelayMs(),
                options.slowReadIntervalMs(),
                options.fastReaders());
        role = new PlannerRole(context.self(), context.store(), context.timers().clock(), this::post, delays);
        loadCollector = new LoadCollector(
                context.self(), context.peers(), context.handlers(), this::post, options.loadQueryTimeoutMs());
        writer = new TableWriter(context.store(), this::sendToNewOwners);
        cleaner = new MemberCleaner(context.store(), options.sealedRetentionMs());
        lookup = new MemberLookup(context.store(), this::post);
        meters = new PlacementMeters(context.meters());
    }

    /** Whether this daemon held the planner role at its latest step. */
    public boolean holdsRole() {
        return holdsRole;
    }

    /** Begins to compete for the role; called once, after the handlers of this daemon are registered. */
    public void start() {
        context.view().subscribe(snapshot -> {
            inputCount.incrementAndGet();
            duty.offer(this::step);
        });
        tick = context.timers().every(options.tickIntervalMs(), duty, this::step);
        loadTick = context.timers().every(options.loadQueryIntervalMs(), duty, this::collectLoads);
    }

    /**
     * Sends a table to the members that get ranges by it, so that they ask for them before other daemons send requests
     * there. A lost message costs no more than the time of dissemination.
     */
    private void sendToNewOwners(AssignmentTable table, StoredObject object) {
        RoutingSnapshot snapshot = context.view().current();
        ObjectData data = new ObjectData(FetchObject.Kind.ASSIGNMENTS, Revision.NONE, false, List.of(object));
        table.assignments().stream()
                .filter(assignment -> assignment.fence().equals(table.generation()))
                .map(RangeAssignment::owner)
                .distinct()
                .flatMap(owner -> snapshot.member(owner).stream())
                .forEach(owner -> context.peers().send(PeerTarget.of(owner), data));
    }

    /** Stops renewing the role, so that another daemon takes it after {@link PlannerOptions#roleTimeoutMs}. */
    @Override
    public void close() {
        tick.cancel();
        loadTick.cancel();
        duty.close();
    }

    private void post(Runnable task) {
        if (!duty.offer(task)) {
            context.timers().once(POST_RETRY_MS, duty, task);
        }
    }

    private long nowMs() {
        return context.timers().clock().nowMs();
    }

    private void step() {
        long input = inputCount.get();
        RoutingSnapshot snapshot = context.view().current();
        role.step(snapshot);
        meters.setRoleHeld(role.isHolder());
        holdsRole = role.isHolder();
        if (!role.isHolder()) {
            serviceStates.clear();
            loadCollector.clear();
            return;
        }
        if (snapshot.configurationRevision().equals(Revision.NONE)) {
            return;
        }
        keyedServices(snapshot).forEach(service -> plan(snapshot, input, service));
    }

    private static Set<ServiceName> keyedServices(RoutingSnapshot snapshot) {
        Set<ServiceName> services = new TreeSet<>(snapshot.tables().keySet());
        snapshot.configuration().services().stream()
                .filter(ServiceConfig::keyed)
                .map(ServiceConfig::name)
                .forEach(services::add);
        return services;
    }

    private void collectLoads() {
        if (!role.isHolder()) {
            return;
        }
        RoutingSnapshot snapshot = context.view().current();
        serviceStates.forEach((service, track) -> {
            TablePlanner.View view = view(snapshot, track, track.table());
            double imbalance = TablePlanner.imbalance(view);
            track.updateImbalance(imbalance, nowMs());
            meters.setTable(service, track.table(), imbalance);
            meters.recordUnserved(service, track.table(), view.reports(), options.loadQueryIntervalMs() / 1_000.0);
        });
        loadCollector.query(snapshot);
        context.timers().once(options.loadQueryIntervalMs() / LOAD_ANSWER_DIVISOR, duty, () -> {
            inputCount.incrementAndGet();
            step();
        });
        lookup.clearFoundMembers();
        cleaner.deleteExpired(snapshot, nowMs());
    }

    private void plan(RoutingSnapshot snapshot, long input, ServiceName service) {
        ServicePlanningState track =
                serviceStates.computeIfAbsent(service, s -> new ServicePlanningState(s, IMBALANCE_TARGET_PERCENT, nowMs()));
        snapshot.table(service).ifPresent(track::updateTable);
        track.updateCandidates(TablePlanner.candidates(view(snapshot, track, track.table())), nowMs());
        if (!track.shouldDecide(input, nowMs()) || !lookup.resolveMissing(snapshot, track.table())) {
            return;
        }
        if (decide(view(snapshot, track, track.table())).isEmpty()) {
            track.recordDecided(input);
            return;
        }
        track.beginWrite();
        writer.write(service, this::post, table -> decideOn(track, table))
                .whenComplete((outcome, failure) -> post(() -> {
                    if (failure != null) {
                        CrankException cause = CrankException.of(failure);
                        logger.atWarning().log(
                                "event=table-write-failed service=%s result=%s reason=%s",
                                service, cause.code(), cause.getMessage());
                        track.endWrite(nowMs() + WRITE_RETRY_MS);
                        return;
                    }
                    track.updateTable(outcome.table());
                    track.endWrite(outcome.written().isPresent() ? nowMs() : nowMs() + WRITE_RETRY_MS);
                    outcome.written().ifPresent(decision -> tableWritten(track, decision));
                }));
    }

    private void tableWritten(ServicePlanningState track, TablePlanner.Decision decision) {
        ServiceName service = decision.table().service();
        meters.countChanges(service, decision.changes());
        if (decision.kind() == TablePlanner.Kind.POLICY) {
            track.recordPolicyChange(nowMs());
        }
        for (TableBuilder.Change change : decision.changes()) {
            context.log().log(() -> String.format(
                    "event=place service=%s range=%s from=%s to=%s fence=%s reason=%s",
                    service,
                    change.range(),
                    change.from().map(MemberId::value).orElse("none"),
                    change.to(),
                    change.fence(),
                    change.reason()));
        }
        if (decision.kind() == TablePlanner.Kind.WITHDRAW) {
            context.log().log(() -> String.format(
                    "event=place service=%s range=all from=all to=none fence=%s reason=withdrawn",
                    service, decision.table().generation()));
        }
        step();
    }

    /** Decides again on the table read from the store, with the facts that the decision must not have wrong. */
    private CompletableFuture<Optional<TablePlanner.Decision>> decideOn(ServicePlanningState track, AssignmentTable table) {
        RoutingSnapshot snapshot = context.view().current();
        if (!lookup.resolveMissing(snapshot, table)) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        TablePlanner.View view = view(snapshot, track, table);
        Optional<TablePlanner.Decision> decision = decide(view);
        if (decision.isEmpty()) {
            return CompletableFuture.completedFuture(decision);
        }
        boolean recreated = decision.get().kind() == TablePlanner.Kind.FIRST_TABLE
                && !table.generation().equals(Generation.NONE);
        if (recreated) {
            return lookup.listMembers().thenApply(members -> decide(withStoredMembers(view, members)));
        }
        if (decision.get().kind() == TablePlanner.Kind.WITHDRAW) {
            return context.store()
                    .get(ObjectNames.CONFIGURATION)
                    .thenApply(found -> isWithdrawn(table.service(), found) ? decision : Optional.empty());
        }
        return CompletableFuture.completedFuture(decision);
    }

    /** The snapshot may be older than a note that added the service again, so the store is asked. */
    private static boolean isWithdrawn(ServiceName service, Optional<StoredObject> found) {
        return found.map(o -> JsonCodec.decode(o.value(), Configuration.class))
                .map(c -> c.service(service).filter(ServiceConfig::keyed).isEmpty())
                .orElse(false);
    }

    /** Members that the snapshot lacks may still hold ranges of the table before the withdrawal. */
    private static TablePlanner.View withStoredMembers(TablePlanner.View view, List<Member> stored) {
        Map<MemberId, Member> members = new HashMap<>(view.members());
        stored.forEach(m -> members.putIfAbsent(m.id(), m));
        return new TablePlanner.View(
                view.configuration(),
                members,
                view.removed(),
                view.table(),
                view.reports(),
                view.nowMs(),
                view.lastChangeMs(),
                view.imbalancedSinceMs(),
                view.candidatesSinceMs());
    }

    private Optional<TablePlanner.Decision> decide(TablePlanner.View view) {
        ServiceName service = view.table().service();
        try {
            return new TablePlanner(policy(view.configuration(), service), options.firstTableDelayMs()).decide(view);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("event=policy-failed service=%s", service);
            return new TablePlanner(fallbackPolicy, options.firstTableDelayMs()).decide(view);
        }
    }

    private PlacementPolicy policy(Configuration configuration, ServiceName service) {
        return configuration
                .service(service)
                .map(s -> plugins.get(PluginRegistry.Kind.PLACEMENT, s.placementPolicy()))
                .orElse(fallbackPolicy);
    }

    private TablePlanner.View view(RoutingSnapshot snapshot, ServicePlanningState track, AssignmentTable table) {
        Map<MemberId, Member> members = new HashMap<>(lookup.foundMembers());
        Set<MemberId> gone = new HashSet<>(lookup.removedMembers());
        snapshot.members().forEach((id, known) -> {
            members.put(id, known.member());
            if (known.member().state() == MemberState.SEALED) {
                gone.add(id);
            }
        });
        Map<MemberId, LoadReport> reports = loadCollector.reports();
        reports.values().removeIf(r -> !r.service().equals(table.service()));
        boolean complete =
                table.assignments().stream().allMatch(a -> reports.containsKey(a.owner()) || gone.contains(a.owner()));
        return new TablePlanner.View(
                snapshot.configuration(),
                members,
                gone,
                table,
                reports,
                nowMs(),
                complete ? track.lastChangeMs() : nowMs(),
                track.imbalancedSinceMs(nowMs()),
                track.candidatesSinceMs());
    }
}
