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
import org.coriandercrank.placement.internal.RebalanceRules;
import org.coriandercrank.placement.internal.ServicePlan;
import org.coriandercrank.placement.internal.ServiceTrack;
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
    private final LoadCollector loads;
    private final TableWriter writer;
    private final MemberCleaner cleaner;
    private final MemberLookup lookup;
    private final PlacementMeters meters;
    private final PlacementPolicy fallbackPolicy = new RebalancePolicy(RebalanceRules.AVAILABILITY);
    private final Map<ServiceName, ServiceTrack> tracks = new HashMap<>();
    private final AtomicLong inputs = new AtomicLong();
    private TimerService.Subscription tick = () -> {};
    private TimerService.Subscription loadTick = () -> {};

    public Planner(PlacementContext context, PluginRegistry plugins, PlannerOptions options) {
        this.context = context;
        duty = context.duties().create("planner", RING_CAPACITY);
        this.plugins = plugins;
        this.options = options;
        PlannerElection.Delays delays = new PlannerElection.Delays(
                options.renewMs(),
                options.takeAfterMs(),
                options.rankDelayMs(),
                options.idleReadMs(),
                options.readers());
        role = new PlannerRole(context.self(), context.store(), context.timers().clock(), this::post, delays);
        loads = new LoadCollector(
                context.self(), context.peers(), context.handlers(), this::post, options.loadTimeoutMs());
        writer = new TableWriter(context.store(), this::tellNewOwners);
        cleaner = new MemberCleaner(context.store(), options.sealedKeepMs());
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
            inputs.incrementAndGet();
            duty.offer(this::step);
        });
        tick = context.timers().every(options.tickMs(), duty, this::step);
        loadTick = context.timers().every(options.loadPeriodMs(), duty, this::loadStep);
    }

    /**
     * Sends a table to the members that get ranges by it, so that they ask for them before other daemons send requests
     * there. A lost message costs no more than the time of dissemination.
     */
    private void tellNewOwners(AssignmentTable table, StoredObject object) {
        RoutingSnapshot snapshot = context.view().current();
        ObjectData data = new ObjectData(FetchObject.Kind.ASSIGNMENTS, Revision.NONE, false, List.of(object));
        table.assignments().stream()
                .filter(assignment -> assignment.fence().equals(table.generation()))
                .map(RangeAssignment::owner)
                .distinct()
                .flatMap(owner -> snapshot.member(owner).stream())
                .forEach(owner -> context.peers().send(PeerTarget.of(owner), data));
    }

    /** Stops renewing the role, so that another daemon takes it after {@link PlannerOptions#takeAfterMs}. */
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
        long input = inputs.get();
        RoutingSnapshot snapshot = context.view().current();
        role.step(snapshot);
        meters.role(role.isHolder());
        holdsRole = role.isHolder();
        if (!role.isHolder()) {
            tracks.clear();
            loads.clear();
            return;
        }
        if (snapshot.configurationRevision().equals(Revision.NONE)) {
            return;
        }
        services(snapshot).forEach(service -> plan(snapshot, input, service));
    }

    private static Set<ServiceName> services(RoutingSnapshot snapshot) {
        Set<ServiceName> services = new TreeSet<>(snapshot.tables().keySet());
        snapshot.configuration().services().stream()
                .filter(ServiceConfig::keyed)
                .map(ServiceConfig::name)
                .forEach(services::add);
        return services;
    }

    private void loadStep() {
        if (!role.isHolder()) {
            return;
        }
        RoutingSnapshot snapshot = context.view().current();
        tracks.forEach((service, track) -> {
            ServicePlan.View view = view(snapshot, track, track.table());
            double imbalance = ServicePlan.imbalance(view);
            track.noteImbalance(imbalance, nowMs());
            meters.table(service, track.table(), imbalance);
            meters.unserved(service, track.table(), view.reports(), options.loadPeriodMs() / 1_000.0);
        });
        loads.query(snapshot);
        context.timers().once(options.loadPeriodMs() / LOAD_ANSWER_DIVISOR, duty, () -> {
            inputs.incrementAndGet();
            step();
        });
        lookup.expireFound();
        cleaner.step(snapshot, nowMs());
    }

    private void plan(RoutingSnapshot snapshot, long input, ServiceName service) {
        ServiceTrack track =
                tracks.computeIfAbsent(service, s -> new ServiceTrack(s, IMBALANCE_TARGET_PERCENT, nowMs()));
        snapshot.table(service).ifPresent(track::learn);
        track.noteCandidates(ServicePlan.candidates(view(snapshot, track, track.table())), nowMs());
        if (!track.isReady(input, nowMs()) || !lookup.resolveAbsent(snapshot, track.table())) {
            return;
        }
        if (decide(view(snapshot, track, track.table())).isEmpty()) {
            track.noteDecided(input);
            return;
        }
        track.begin();
        writer.write(service, this::post, table -> decideOn(track, table))
                .whenComplete((outcome, failure) -> post(() -> {
                    if (failure != null) {
                        CrankException cause = CrankException.of(failure);
                        logger.atWarning().log(
                                "event=table-write-failed service=%s result=%s reason=%s",
                                service, cause.code(), cause.getMessage());
                        track.end(nowMs() + WRITE_RETRY_MS);
                        return;
                    }
                    track.learn(outcome.table());
                    track.end(outcome.written().isPresent() ? nowMs() : nowMs() + WRITE_RETRY_MS);
                    outcome.written().ifPresent(decision -> written(track, decision));
                }));
    }

    private void written(ServiceTrack track, ServicePlan.Decision decision) {
        ServiceName service = decision.table().service();
        meters.changes(service, decision.changes());
        if (decision.kind() == ServicePlan.Kind.POLICY) {
            track.noteChange(nowMs());
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
        if (decision.kind() == ServicePlan.Kind.WITHDRAW) {
            context.log().log(() -> String.format(
                    "event=place service=%s range=all from=all to=none fence=%s reason=withdrawn",
                    service, decision.table().generation()));
        }
        step();
    }

    /** Decides again on the table read from the store, with the facts that the decision must not have wrong. */
    private CompletableFuture<Optional<ServicePlan.Decision>> decideOn(ServiceTrack track, AssignmentTable table) {
        RoutingSnapshot snapshot = context.view().current();
        if (!lookup.resolveAbsent(snapshot, table)) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        ServicePlan.View view = view(snapshot, track, table);
        Optional<ServicePlan.Decision> decision = decide(view);
        if (decision.isEmpty()) {
            return CompletableFuture.completedFuture(decision);
        }
        boolean recreated = decision.get().kind() == ServicePlan.Kind.FIRST_TABLE
                && !table.generation().equals(Generation.NONE);
        if (recreated) {
            return lookup.listMembers().thenApply(members -> decide(withMembers(view, members)));
        }
        if (decision.get().kind() == ServicePlan.Kind.WITHDRAW) {
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
    private static ServicePlan.View withMembers(ServicePlan.View view, List<Member> stored) {
        Map<MemberId, Member> members = new HashMap<>(view.members());
        stored.forEach(m -> members.putIfAbsent(m.id(), m));
        return new ServicePlan.View(
                view.configuration(),
                members,
                view.gone(),
                view.table(),
                view.reports(),
                view.nowMs(),
                view.lastChangeMs(),
                view.imbalancedSinceMs(),
                view.candidatesSinceMs());
    }

    private Optional<ServicePlan.Decision> decide(ServicePlan.View view) {
        ServiceName service = view.table().service();
        try {
            return new ServicePlan(policy(view.configuration(), service), options.settleMs()).decide(view);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("event=policy-failed service=%s", service);
            return new ServicePlan(fallbackPolicy, options.settleMs()).decide(view);
        }
    }

    private PlacementPolicy policy(Configuration configuration, ServiceName service) {
        return configuration
                .service(service)
                .map(s -> plugins.get(PluginRegistry.Kind.PLACEMENT, s.placementPolicy()))
                .orElse(fallbackPolicy);
    }

    private ServicePlan.View view(RoutingSnapshot snapshot, ServiceTrack track, AssignmentTable table) {
        Map<MemberId, Member> members = new HashMap<>(lookup.found());
        Set<MemberId> gone = new HashSet<>(lookup.gone());
        snapshot.members().forEach((id, known) -> {
            members.put(id, known.member());
            if (known.member().state() == MemberState.SEALED) {
                gone.add(id);
            }
        });
        Map<MemberId, LoadReport> reports = loads.reports();
        reports.values().removeIf(r -> !r.service().equals(table.service()));
        boolean complete =
                table.assignments().stream().allMatch(a -> reports.containsKey(a.owner()) || gone.contains(a.owner()));
        return new ServicePlan.View(
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
