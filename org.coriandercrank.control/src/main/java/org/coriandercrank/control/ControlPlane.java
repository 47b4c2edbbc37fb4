package org.coriandercrank.control;

import java.security.SecureRandom;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.coriandercrank.control.internal.ControlContext;
import org.coriandercrank.control.internal.ControlLoop;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.ConfigurationProof;
import org.coriandercrank.kernel.ownership.LeaseView;
import org.coriandercrank.kernel.ownership.RequestQuarantine;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.table.BackendInfo;

/**
 * Control plane of a daemon: membership, lease, takeover of failed members and dissemination of control objects.
 *
 * <p>{@link #start} lists the store and then joins; both are retried during an outage of the store until they succeed.
 * A daemon whose incarnation was ended by others is notified through {@link #addIncarnationListener} and must call
 * {@link #rejoin()}. Thread safe.
 */
public final class ControlPlane implements AutoCloseable {
    private static final int TASK_QUEUE_CAPACITY = 16_384;

    private final ControlContext context;
    private final ControlLoop loop;
    private final Runnable closeExecutor;

    private ControlPlane(ControlContext context, boolean joinOnStart, Runnable closeExecutor) {
        this.context = context;
        Optional<JoinParameters> initial = joinOnStart
                ? Optional.of(JoinParameters.withoutFormer(ControlLoop.newMemberId(context)))
                : Optional.empty();
        this.loop = new ControlLoop(context, initial);
        this.closeExecutor = closeExecutor;
    }

    /**
     * Creates a control plane on an executor of its own. Its message handlers are registered, but it is not started.
     */
    public static ControlPlane create(ControlOptions options, HostIdentity identity, ControlDependencies dependencies) {
        return create(options, identity, dependencies, true);
    }

    /**
     * Creates a control plane on an executor of its own that joins only after {@link #rejoin(JoinParameters)}. Until
     * then it keeps its view of the other members up to date.
     */
    public static ControlPlane createWithDeferredJoin(
            ControlOptions options, HostIdentity identity, ControlDependencies dependencies) {
        return create(options, identity, dependencies, false);
    }

    private static ControlPlane create(
            ControlOptions options, HostIdentity identity, ControlDependencies dependencies, boolean joinOnStart) {
        SerialExecutor executor = dependencies.executorFactory().create("control", TASK_QUEUE_CAPACITY);
        Random random = new Random(new SecureRandom().nextLong());
        ControlContext context = new ControlContext(options, identity, dependencies, executor, random);
        return new ControlPlane(context, joinOnStart, executor::close);
    }

    /**
     * Creates a control plane on a given executor, which the caller closes.
     *
     * @param executor runs tasks one at a time, in the order of their submission
     * @param random source of member ids and jitter
     */
    public static ControlPlane create(
            ControlOptions options,
            HostIdentity identity,
            ControlDependencies dependencies,
            Executor executor,
            Random random) {
        ControlContext context = new ControlContext(options, identity, dependencies, executor, random);
        return new ControlPlane(context, true, () -> {});
    }

    /** Starts to list the store, to join and to run the periodic work. */
    public void start() {
        loop.start();
    }

    /** Returns the member id of the current incarnation, which exists before the start and changes with a rejoin. */
    public MemberId self() {
        return loop.self();
    }

    /** Returns the view of the configuration, the member records and the assignment tables. */
    public RoutingView routing() {
        return loop.routing();
    }

    /** Returns what is known about how recent the configuration is. */
    public ConfigurationProof configurationProof() {
        return loop.configurationProof();
    }

    /** Returns the lease of the current incarnation, on the clock of the timers. */
    public LeaseView lease() {
        return loop.lease();
    }

    /** Returns what the daemons know about requests that crash backend servers. */
    public RequestQuarantine quarantine() {
        return loop.quarantine();
    }

    /** Adds a listener that is notified when others end an incarnation of this daemon. */
    public void addIncarnationListener(IncarnationListener listener) {
        loop.addIncarnationListener(listener);
    }

    /**
     * Handles the announcement of a backend server: writes it to the record and makes the member active. An unchanged
     * announcement writes nothing. A rejoin discards the announcement.
     */
    public void backendAnnounced(BackendInfo backend) {
        loop.backendAnnounced(backend);
    }

    /**
     * Sets which backend server of this host has been identified by the process at its address. Servers of other names,
     * which earlier members of this host had, have then ended. Empty if none has been identified since it was attached.
     */
    public void backendIdentified(Optional<String> backendName) {
        loop.backendIdentified(backendName);
    }

    /**
     * Sets the member state to leaving, so that the planner moves all its ranges to other members. The future completes
     * when the record has that state.
     */
    public CompletableFuture<Void> leave() {
        return loop.leave();
    }

    /**
     * Invalidates the lease immediately and seals the own record, as the last step of a graceful shutdown. The future
     * completes when the record is sealed.
     */
    public CompletableFuture<Void> sealSelf() {
        return loop.sealSelf();
    }

    /** Ends the incarnation immediately without sealing its record; the next incarnation of this host seals it. */
    public CompletableFuture<Void> abandon() {
        return loop.abandon();
    }

    /** Joins under a new id; the future fails with {@code INTERNAL} if the previous incarnation has not ended. */
    public CompletableFuture<MemberId> rejoin() {
        return rejoin(JoinParameters.withoutFormer(ControlLoop.newMemberId(context)));
    }

    /**
     * Joins under a given id. The previous incarnation must have ended or never have started; otherwise the future
     * fails with {@code INTERNAL}.
     */
    public CompletableFuture<MemberId> rejoin(JoinParameters parameters) {
        return loop.rejoin(parameters);
    }

    /** Returns the status for operators, which is at most one tick old. */
    public ControlStatus status() {
        return loop.status();
    }

    /**
     * Stops the periodic work and the executor that this control plane created. Does not leave the cluster; see
     * {@link #leave} and {@link #sealSelf}.
     */
    @Override
    public void close() {
        loop.close();
        closeExecutor.run();
    }
}
