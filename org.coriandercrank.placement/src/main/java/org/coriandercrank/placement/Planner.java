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
import java.util.function.Function;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.StoreEra;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.placement.PlacementPolicy;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.placement.internal.HeldRangesCollector;
import org.coriandercrank.placement.internal.LoadCollector;
import org.coriandercrank.placement.internal.MemberCleaner;
import org.coriandercrank.placement.internal.MemberLookup;
import org.coriandercrank.placement.internal.PlacementMeters;
import org.coriandercrank.placement.internal.PlannerElection;
import org.coriandercrank.placement.internal.PlannerRole;
import org.coriandercrank.placement.internal.RebalanceParameters;
import org.coriandercrank.placement.internal.RebalancePolicy;
import org.coriandercrank.placement.internal.RecoveryTable;
import org.coriandercrank.placement.internal.ServicePlanningState;
import org.coriandercrank.placement.internal.TableBuilder;
import org.coriandercrank.placement.internal.TablePlanner;
import org.coriandercrank.placement.internal.TableRecovery;
import org.coriandercrank.placement.internal.TableWriter;

/**
 * Competes for the planner role and, while this daemon holds it, assigns the key ranges of every keyed service.
 *
 * <p>Thread safe: all state is confined to the serial executor {@code planner}. Several planners may be active at the
 * same time, because each table is written only if the stored table still has the revision that the decision is based
 * on.
 */
public final class Planner implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int TASK_QUEUE_CAPACITY = 16_384; // tasks
    private static final long ENQUEUE_RETRY_MS = 1;
    private static final long TABLE_WRITE_RETRY_MS = 200;

    /**
     * After load queries are sent, planning waits for the load query interval divided by this number, so that the load
     * reports can arrive.
     */
    private static final long LOAD_REPORT_WAIT_DIVISOR = 4;

    /** Load of the most loaded server, in percent of its fair load, above which a table counts as imbalanced. */
    private static final long IMBALANCE_TARGET_PERCENT = 125;

    private final PlacementDependencies dependencies;
    private final PluginRegistry plugins;
    private final PlannerOptions options;
    private final SerialExecutor executor;
    private final PlannerRole role;
    private volatile boolean holdsRole;
    private final LoadCollector loadCollector;
    private final TableWriter tableWriter;
    private final MemberCleaner memberCleaner;
    private final MemberLookup memberLookup;
    private final TableRecovery recovery;
    private Era era = Era.NONE;
    private final PlacementMeters meters;
    private final PlacementPolicy fallbackPolicy = new RebalancePolicy(RebalanceParameters.AVAILABILITY);
    private final Map<ServiceName, ServicePlanningState> serviceStates = new HashMap<>();

    /** Incremented with each snapshot and each round of load reports. */
    private final AtomicLong inputVersion = new AtomicLong();

    private TimerService.Subscription tickTimer = () -> {};
    private TimerService.Subscription loadQueryTimer = () -> {};

    public Planner(PlacementDependencies dependencies, PluginRegistry plugins, PlannerOptions options) {
        this.dependencies = dependencies;
        executor = dependencies.executorFactory().create("planner", TASK_QUEUE_CAPACITY);
        this.plugins = plugins;
        this.options = options;
        PlannerElection.Options electionOptions = new PlannerElection.Options(
                options.renewIntervalMs(),
                options.roleTimeoutMs(),
                options.rankDelayMs(),
                options.slowReadIntervalMs(),
                options.fastReaders());
        role = new PlannerRole(
                dependencies.self(),
                dependencies.store(),
                dependencies.timers().clock(),
                this::enqueue,
                electionOptions);
        loadCollector = new LoadCollector(
                dependencies.self(),
                dependencies.peerClient(),
                dependencies.peerHandlers(),
                this::enqueue,
                options.loadQueryTimeoutMs());
        tableWriter = new TableWriter(dependencies.store(), this::sendToNewOwners);
        memberCleaner = new MemberCleaner(dependencies.store(), options.sealedRetentionMs());
        memberLookup = new MemberLookup(dependencies.store(), this::enqueue);
        recovery = new TableRecovery(
                memberLookup,
                new HeldRangesCollector(
                        dependencies.self(),
                        dependencies.peerClient(),
                        dependencies.peerHandlers(),
                        options.loadQueryTimeoutMs()),
                tableWriter,
                this::enqueue,
                dependencies.timers().clock(),
                dependencies.decisionLog());
        meters = new PlacementMeters(dependencies.meterRegistry());
    }

    /** Whether this daemon held the planner role when it last checked. */
    public boolean holdsRole() {
        return holdsRole;
    }

    /** Starts to compete for the planner role. Call once, after the peer handlers of this daemon are registered. */
    public void start() {
        dependencies.routingView().subscribe(snapshot -> {
            inputVersion.incrementAndGet();
            executor.offer(this::updateRoleAndPlan);
        });
        tickTimer = dependencies.timers().every(options.tickIntervalMs(), executor, this::updateRoleAndPlan);
        loadQueryTimer = dependencies.timers().every(options.loadQueryIntervalMs(), executor, this::collectLoads);
    }

    /**
     * Sends a new table to the members that it assigns ranges to, so that they request the release of these ranges
     * before other daemons route requests to them. If the message is lost, the member receives the table a little later
     * by normal dissemination. The first table of an era is sent to all owners, because they acquire nothing before.
     */
    private void sendToNewOwners(AssignmentTable table, StoredObject object) {
        boolean firstOfEra = table.generation()
                .equals(Generation.NONE.next(table.generation().era()));
        RoutingSnapshot snapshot = dependencies.routingView().current();
        ObjectData data = new ObjectData(FetchObject.Kind.ASSIGNMENTS, Revision.NONE, false, List.of(object));
        table.assignments().stream()
                .filter(assignment -> firstOfEra || assignment.fence().equals(table.generation()))
                .map(RangeAssignment::owner)
                .distinct()
                .flatMap(owner -> snapshot.member(owner).stream())
                .forEach(owner -> dependencies.peerClient().send(PeerTarget.of(owner), data));
    }

    /** Stops renewing the planner role; another daemon takes it over after {@link PlannerOptions#roleTimeoutMs}. */
    @Override
    public void close() {
        tickTimer.cancel();
        loadQueryTimer.cancel();
        executor.close();
    }

    /** Queues a task that must not be lost, and retries while the task queue is full. */
    private void enqueue(Runnable task) {
        if (!executor.offer(task)) {
            dependencies.timers().once(ENQUEUE_RETRY_MS, executor, task);
        }
    }

    private long nowMs() {
        return dependencies.timers().clock().nowMs();
    }

    private void updateRoleAndPlan() {
        long version = inputVersion.get();
        RoutingSnapshot snapshot = dependencies.routingView().current();
        role.update(snapshot);
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
        keyedServices(snapshot).forEach(service -> plan(snapshot, version, service));
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
        RoutingSnapshot snapshot = dependencies.routingView().current();
        serviceStates.forEach((service, state) -> {
            TablePlanner.Input input = planningInput(snapshot, state, state.table());
            double imbalance = TablePlanner.imbalance(input);
            state.updateImbalance(imbalance, nowMs());
            meters.setTable(service, state.table(), imbalance);
            meters.recordUnserved(service, state.table(), input.reports(), options.loadQueryIntervalMs() / 1_000.0);
        });
        loadCollector.query(snapshot);
        dependencies.timers().once(options.loadQueryIntervalMs() / LOAD_REPORT_WAIT_DIVISOR, executor, () -> {
            inputVersion.incrementAndGet();
            updateRoleAndPlan();
        });
        memberLookup.clearFoundMembers();
        memberCleaner.deleteExpired(snapshot, nowMs());
    }

    private void plan(RoutingSnapshot snapshot, long version, ServiceName service) {
        ServicePlanningState state = serviceStates.computeIfAbsent(
                service, s -> new ServicePlanningState(s, IMBALANCE_TARGET_PERCENT, nowMs()));
        updateEra();
        snapshot.table(service).ifPresent(state::updateTable);
        if (state.isRecoveryRequired()
                || era.isNewerThan(state.table().generation().era())) {
            recover(snapshot, state);
            return;
        }
        state.updateCandidates(TablePlanner.candidates(planningInput(snapshot, state, state.table())), nowMs());
        if (!state.shouldDecide(version, nowMs()) || !memberLookup.resolveMissing(snapshot, state.table())) {
            return;
        }
        if (decide(planningInput(snapshot, state, state.table())).isEmpty()) {
            state.recordDecided(version);
            return;
        }
        state.beginWrite();
        tableWriter
                .write(service, this::enqueue, table -> decideOnStoredTable(state, table))
                .whenComplete((outcome, failure) -> enqueue(() -> writeEnded(state, outcome, failure)));
    }

    private void writeEnded(ServicePlanningState state, TableWriter.Outcome outcome, Throwable failure) {
        if (failure != null) {
            CrankException cause = CrankException.of(failure);
            logger.atWarning().log(
                    "event=table-write-failed service=%s result=%s reason=%s",
                    state.table().service(), cause.code(), cause.getMessage());
            state.endWrite(nowMs() + TABLE_WRITE_RETRY_MS);
            return;
        }
        state.updateStoredTable(outcome.table(), era);
        state.endWrite(outcome.written().isPresent() ? nowMs() : nowMs() + TABLE_WRITE_RETRY_MS);
        outcome.written().ifPresent(decision -> tableWritten(state, decision));
    }

    private void updateEra() {
        Era viewed = dependencies.routingView().storeEra().era();
        Era answered = dependencies.store().era();
        if (viewed.isNewerThan(era) || answered.isNewerThan(era)) {
            era = viewed.isNewerThan(answered) ? viewed : answered;
            memberLookup.clear();
        }
    }

    /** Writes the first table of the present era once the era has settled. */
    private void recover(RoutingSnapshot snapshot, ServicePlanningState state) {
        StoreEra known = dependencies.routingView().storeEra();
        state.updateCandidates(TablePlanner.candidates(planningInput(snapshot, state, state.table())), nowMs());
        if (!known.settled() || !known.era().equals(era) || !state.mayWrite(nowMs())) {
            return;
        }
        state.beginWrite();
        recovery.recover(state.table(), era, (input, members) -> decideRecovery(state, input, members))
                .whenComplete((outcome, failure) -> enqueue(() -> writeEnded(state, outcome, failure)));
    }

    private Optional<TablePlanner.Decision> decideRecovery(
            ServicePlanningState state, RecoveryTable.Input recoveryInput, List<Member> storedMembers) {
        RoutingSnapshot snapshot = dependencies.routingView().current();
        TablePlanner.Input input =
                planningInput(snapshot, state, recoveryInput.newest()).withStoredMembers(storedMembers);
        return decide(
                input.configuration(),
                recoveryInput.newest().service(),
                planner -> planner.recover(input, recoveryInput));
    }

    private void tableWritten(ServicePlanningState state, TablePlanner.Decision decision) {
        ServiceName service = decision.table().service();
        meters.countChanges(service, decision.changes());
        if (decision.kind() == TablePlanner.Kind.POLICY) {
            state.recordPolicyChange(nowMs());
        }
        for (TableBuilder.Change change : decision.changes()) {
            dependencies
                    .decisionLog()
                    .log(() -> String.format(
                            "event=place service=%s range=%s from=%s to=%s fence=%s reason=%s",
                            service,
                            change.range(),
                            change.from().map(MemberId::value).orElse("none"),
                            change.to(),
                            change.fence(),
                            change.reason()));
        }
        if (decision.kind() == TablePlanner.Kind.WITHDRAW) {
            dependencies
                    .decisionLog()
                    .log(() -> String.format(
                            "event=place service=%s range=all from=all to=none fence=%s reason=withdrawn",
                            service, decision.table().generation()));
        }
        updateRoleAndPlan();
    }

    /**
     * Decides on the table that was just read from the store. A decision that must not rest on an outdated snapshot is
     * also checked against the members or the configuration in the store.
     */
    private CompletableFuture<Optional<TablePlanner.Decision>> decideOnStoredTable(
            ServicePlanningState state, AssignmentTable table) {
        RoutingSnapshot snapshot = dependencies.routingView().current();
        updateEra();
        if (era.isNewerThan(table.generation().era())) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        if (!memberLookup.resolveMissing(snapshot, table)) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        TablePlanner.Input input = planningInput(snapshot, state, table);
        Optional<TablePlanner.Decision> decision = decide(input);
        if (decision.isEmpty()) {
            return CompletableFuture.completedFuture(decision);
        }
        boolean recreatesTable = decision.get().kind() == TablePlanner.Kind.FIRST_TABLE
                && !table.generation().equals(Generation.NONE);
        if (recreatesTable) {
            return memberLookup.listMembers().thenApply(members -> decide(input.withStoredMembers(members)));
        }
        if (decision.get().kind() == TablePlanner.Kind.WITHDRAW) {
            return dependencies
                    .store()
                    .get(ObjectNames.CONFIGURATION)
                    .thenApply(found -> isWithdrawn(table.service(), found) ? decision : Optional.empty());
        }
        return CompletableFuture.completedFuture(decision);
    }

    /**
     * Checks the stored configuration, because the snapshot may be older than a change that added the service again.
     */
    private static boolean isWithdrawn(ServiceName service, Optional<StoredObject> storedConfiguration) {
        return storedConfiguration
                .map(object -> JsonCodec.decode(object.value(), Configuration.class))
                .map(configuration -> configuration
                        .service(service)
                        .filter(ServiceConfig::keyed)
                        .isEmpty())
                .orElse(false);
    }

    private Optional<TablePlanner.Decision> decide(TablePlanner.Input input) {
        return decide(input.configuration(), input.table().service(), planner -> planner.decide(input));
    }

    private Optional<TablePlanner.Decision> decide(
            Configuration configuration,
            ServiceName service,
            Function<TablePlanner, Optional<TablePlanner.Decision>> decision) {
        try {
            return decision.apply(new TablePlanner(policyOf(configuration, service), options.firstTableDelayMs()));
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("event=policy-failed service=%s", service);
            return decision.apply(new TablePlanner(fallbackPolicy, options.firstTableDelayMs()));
        }
    }

    private PlacementPolicy policyOf(Configuration configuration, ServiceName service) {
        return configuration
                .service(service)
                .map(s -> plugins.get(PluginRegistry.Kind.PLACEMENT, s.placementPolicy()))
                .orElse(fallbackPolicy);
    }

    private TablePlanner.Input planningInput(
            RoutingSnapshot snapshot, ServicePlanningState state, AssignmentTable table) {
        Map<MemberId, Member> members = new HashMap<>(memberLookup.foundMembers());
        Set<MemberId> removed = new HashSet<>(memberLookup.removedMembers());
        snapshot.members().forEach((id, versioned) -> {
            members.put(id, versioned.member());
            boolean mayBeLost = era.isNewerThan(versioned.revision().era());
            if (versioned.member().state() == MemberState.SEALED && !mayBeLost) {
                removed.add(id);
            } else if (!mayBeLost) {
                removed.remove(id);
            }
        });
        Map<MemberId, LoadReport> reports = loadCollector.reports();
        reports.values().removeIf(r -> !r.service().equals(table.service()));
        // While a load report is missing, the time of the last change is set to now, so that no load is moved.
        boolean allReported = table.assignments().stream()
                .allMatch(a -> reports.containsKey(a.owner()) || removed.contains(a.owner()));
        return new TablePlanner.Input(
                snapshot.configuration(),
                snapshot.evacuatedDomains(),
                members,
                removed,
                table,
                reports,
                nowMs(),
                allReported ? state.lastChangeMs() : nowMs(),
                state.imbalancedSinceMs(nowMs()),
                state.candidatesSinceMs());
    }
}
