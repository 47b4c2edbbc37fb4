package org.coriandercrank.control.internal;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.control.ControlStatus;
import org.coriandercrank.control.IncarnationListener;
import org.coriandercrank.control.JoinParameters;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.Heartbeat;
import org.coriandercrank.kernel.message.HeartbeatAck;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.message.RefusalNotice;
import org.coriandercrank.kernel.message.RefusalRequest;
import org.coriandercrank.kernel.ownership.ConfigurationProof;
import org.coriandercrank.kernel.ownership.LeaseView;
import org.coriandercrank.kernel.ownership.RequestQuarantine;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.time.TimerService;

/**
 * Connects the components of the control plane with each other, with peer messages and with the timer.
 *
 * <p>Each tick evaluates the lease first, so that after a pause of the process nothing relies on a lease that expired
 * during the pause. Thread safe: public methods pass their work to the control thread.
 */
public final class ControlLoop implements AutoCloseable {
    private static final long NANOS_PER_MS = 1_000_000;

    /**
     * 36 to the power of 10: ten characters with about 51 random bits, kept short because each heartbeat has the id.
     */
    private static final long MEMBER_ID_RANDOM_BOUND = 3_656_158_440_062_976L;

    /** A longer gap between ticks is treated as a pause of the process. */
    private static final long MIN_PAUSE_NANOS = 500 * NANOS_PER_MS;

    private final ControlContext context;
    private final ClusterView view;
    private final Dissemination dissemination;
    private final ConfigurationProofMonitor proofMonitor;
    private final ControlMetrics metrics;
    private final QuarantineLedger quarantine;
    private final TakeoverCoordinator takeovers;
    private final PredecessorSealer predecessors;
    private final List<IncarnationListener> incarnationListeners = new CopyOnWriteArrayList<>();
    private volatile Membership membership;
    private volatile ControlStatus status;
    private volatile TimerService.Subscription timer = () -> {};
    private long lastTickNanos;
    private boolean joinRequested;

    /**
     * Creates the loop and registers its message handlers.
     *
     * @param initial parameters of the join at the start; if empty, the daemon joins only after {@link #rejoin}
     */
    public ControlLoop(ControlContext context, Optional<JoinParameters> initial) {
        this.context = context;
        joinRequested = initial.isPresent();
        JoinParameters parameters = initial.orElseGet(() -> JoinParameters.withoutFormer(newMemberId(context)));
        MemberId self = parameters.id();
        quarantine = new QuarantineLedger(
                context.dependencies().timers().clock(),
                context.identity().peerAddress(),
                () -> context.execute(this::publishCrashReports));
        view = new ClusterView(context, self, quarantine::adopt);
        metrics = new ControlMetrics(
                context.dependencies().meterRegistry(),
                () -> status.leaseRemainingMs(),
                () -> status.takeovers().size(),
                quarantine::quarantinedRequests);
        dissemination = new Dissemination(context, view, metrics);
        proofMonitor = new ConfigurationProofMonitor(dissemination.configurationProof(), context.nowNanos());
        metrics.registerConfiguration(
                () -> view.current().configuration().version(), dissemination.configurationProof());
        metrics.registerEvacuations(() -> view.current().evacuatedDomains().size());
        takeovers = new TakeoverCoordinator(context, view, metrics, self);
        predecessors = new PredecessorSealer(context, view);
        membership = newMembership(parameters);
        lastTickNanos = context.nowNanos();
        status = buildStatus();
        registerHandlers(context.dependencies().peerHandlers());
        view.subscribe(this::viewChanged);
    }

    public void start() {
        timer = context.dependencies().timers().every(context.options().tickMs(), context.executor(), this::tick);
        context.execute(this::tick);
    }

    public MemberId self() {
        return membership.id();
    }

    public RoutingView routing() {
        return view;
    }

    /** Returns what is known about how recent the configuration is. */
    public ConfigurationProof configurationProof() {
        return dissemination.configurationProof();
    }

    /** Returns the lease of this daemon, with its expiry converted from the lease clock to the clock of the timers. */
    public LeaseView lease() {
        return () -> context.nowNanos() + membership.validUntilNanos() - context.leaseNowNanos();
    }

    /** Returns what the daemons know about requests that crash backend servers. */
    public RequestQuarantine quarantine() {
        return quarantine;
    }

    public void addIncarnationListener(IncarnationListener listener) {
        incarnationListeners.add(listener);
    }

    public void backendAnnounced(BackendInfo backend) {
        context.execute(() -> membership.backendAnnounced(backend));
    }

    public void backendIdentified(Optional<String> backendName) {
        context.execute(() -> predecessors.backendIdentified(backendName));
    }

    public CompletableFuture<Void> leave() {
        return context.submit(() -> membership.leave()).thenCompose(done -> done);
    }

    public CompletableFuture<Void> sealSelf() {
        return context.submit(() -> membership.sealSelf()).thenCompose(done -> done);
    }

    /**
     * Ends the membership of this process immediately without sealing its record; the next incarnation seals it after
     * it has joined. Must be used only if the incarnation may be resumed and no other process resumes it.
     */
    public CompletableFuture<Void> abandon() {
        return context.submit(() -> {
            membership.abandon();
            return null;
        });
    }

    /** Replaces a membership that has ended or was never started by one with another id. */
    public CompletableFuture<MemberId> rejoin(JoinParameters parameters) {
        return context.submit(() -> {
            if (membership.isStarted() && !membership.isEnded()) {
                throw new CrankException(ResultCode.INTERNAL, "incarnation " + membership.id() + " has not ended");
            }
            MemberId previous = membership.id();
            joinRequested = true;
            membership = newMembership(parameters);
            takeovers.selfChanged(parameters.id());
            view.setSelf(parameters.id());
            context.log(() -> "event=rejoin former=" + previous + " member=" + parameters.id());
            return parameters.id();
        });
    }

    public ControlStatus status() {
        return status;
    }

    @Override
    public void close() {
        timer.cancel();
    }

    /** Creates a member id with a random part that distinguishes it from those of other incarnations. */
    public static MemberId newMemberId(ControlContext context) {
        return new MemberId(context.identity().name() + "-"
                + Long.toString(context.random().nextLong(MEMBER_ID_RANDOM_BOUND), Character.MAX_RADIX));
    }

    private Membership newMembership(JoinParameters parameters) {
        return new Membership(
                context, parameters, view, dissemination, metrics, quarantine::ownReports, this::incarnationEnded);
    }

    private void publishCrashReports() {
        membership.crashReportsChanged();
    }

    private void registerHandlers(PeerHandlers handlers) {
        handlers.register(
                Heartbeat.class, (sender, heartbeat) -> context.submit(() -> handleHeartbeat(sender, heartbeat)));
        handlers.register(
                RefusalRequest.class,
                (sender, request) -> context.submit(
                        () -> takeovers.witnessService().handleRefusalRequest(membership.id(), sender, request)));
        handlers.register(RefusalNotice.class, (sender, notice) -> {
            context.execute(() -> handleRefusalNotice(notice));
            return null;
        });
        handlers.register(ObjectData.class, (sender, data) -> {
            context.execute(() -> data.objects().forEach(object -> view.applyPushed(data.kind(), object)));
            return null;
        });
        handlers.register(
                FetchObject.class,
                (sender, fetch) -> context.submit(() -> view.changesSince(fetch.kind(), fetch.newerThan())));
    }

    private HeartbeatAck handleHeartbeat(MemberId sender, Heartbeat heartbeat) {
        context.eras().observe(heartbeat.digest().latestEra(), context.nowNanos());
        context.eras().observe(heartbeat.recordRevision().era(), context.nowNanos());
        HeartbeatAck answer = takeovers.witnessService().handleHeartbeat(membership.id(), heartbeat);
        dissemination.digestReceived(sender, heartbeat.digest());
        return answer;
    }

    private void handleRefusalNotice(RefusalNotice notice) {
        if (notice.member().equals(membership.id())) {
            membership.refusalReceived(notice.recordRevision(), context.leaseNowNanos());
        }
    }

    private void tick() {
        long nowNanos = context.nowNanos();
        long gapNanos = nowNanos - lastTickNanos;
        lastTickNanos = nowNanos;
        if (gapNanos > MIN_PAUSE_NANOS) {
            context.log(() ->
                    "event=control-pause gapMs=" + gapNanos / NANOS_PER_MS + " leaseRemainingMs=" + leaseRemainingMs());
            membership.processResumed(context.leaseNowNanos());
            takeovers.processResumed(nowNanos);
        }
        context.eras().observe(context.dependencies().store().era(), nowNanos);
        if (view.updateEra()) {
            eraBegan();
        }
        if (joinRequested) {
            membership.tick(context.leaseNowNanos());
        }
        if (dissemination.isListed()) {
            takeovers.tick(nowNanos);
            if ((membership.isJoined() || membership.isJoinCancelled()) && membership.mayResume()) {
                predecessors.tick(membership.id(), membership.formerGrantsEnded());
            }
        }
        quarantine.expire();
        boolean participating = joinRequested && !membership.isEnded();
        dissemination.tick(membership.desired(), participating, membership.suspects(), nowNanos);
        proofMonitor.tick(view.current().configuration().version(), nowNanos);
        status = buildStatus();
    }

    private void eraBegan() {
        metrics.storeReturned();
        context.log(() -> "event=store-era era=" + context.eras().era() + " known=" + view.digest() + " member="
                + membership.id() + " revision="
                + membership
                        .confirmed()
                        .map(record -> record.revision().toString())
                        .orElse("none")
                + " leaseRemainingMs=" + leaseRemainingMs() + " tables="
                + view.current().tables().values().stream()
                        .map(table -> table.service() + ":" + table.generation())
                        .toList());
    }

    private void viewChanged(RoutingSnapshot snapshot) {
        membership.viewChanged();
        takeovers.viewChanged(snapshot);
    }

    private void incarnationEnded(MemberId member, String reason) {
        incarnationListeners.forEach(listener -> listener.incarnationEnded(member, reason));
    }

    private long leaseRemainingMs() {
        long remainingNanos = membership.validUntilNanos() - context.leaseNowNanos();
        return Math.max(0, remainingNanos / NANOS_PER_MS);
    }

    private ControlStatus buildStatus() {
        long nowNanos = context.leaseNowNanos();
        Member desired = membership.desired();
        List<ControlStatus.WitnessStatus> witnesses = desired.witnesses().stream()
                .map(witness -> new ControlStatus.WitnessStatus(witness, voteAgeMs(witness, nowNanos)))
                .toList();
        return new ControlStatus(
                membership.id(),
                desired.state(),
                membership.isJoined(),
                leaseRemainingMs(),
                witnesses,
                dissemination.isRelay(),
                dissemination.isWatching(),
                view.current().configurationRevision(),
                view.digest(),
                takeovers.runningTakeovers());
    }

    private OptionalLong voteAgeMs(MemberId witness, long nowNanos) {
        OptionalLong votedNanos = membership.lastVoteNanos(witness);
        return votedNanos.isEmpty()
                ? votedNanos
                : OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(nowNanos - votedNanos.getAsLong()));
    }
}
