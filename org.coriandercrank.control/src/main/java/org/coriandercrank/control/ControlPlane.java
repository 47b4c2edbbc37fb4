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
import org.coriandercrank.kernel.ownership.LeaseView;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.table.BackendInfo;

/**
 * Membership, lease, takeover and dissemination of a daemon.
 *
 * <p>Thread safe. {@link #start} lists the store and then joins; both go on through an outage of the store until they
 * succeed. A daemon whose incarnation was sealed by others hears of it through {@link #addIncarnationListener} and joins again with
 * {@link #rejoin}.
 */
public final class ControlPlane implements AutoCloseable {
    private static final int RING_CAPACITY = 16_384;

    private final ControlContext context;
    private final ControlLoop loop;
    private final Runnable closeThread;

    private ControlPlane(ControlContext context, boolean joins, Runnable closeThread) {
        this.context = context;
        Optional<JoinParameters> initial =
                joins ? Optional.of(new JoinParameters(ControlLoop.newMemberId(context), false)) : Optional.empty();
        this.loop = new ControlLoop(context, initial);
        this.closeThread = closeThread;
    }

    /** A control plane on a duty of its own, with handlers registered but not started. */
    public static ControlPlane create(ControlOptions options, HostIdentity identity, ControlDependencies services) {
        return create(options, identity, services, true);
    }

    /**
     * A control plane on a duty of its own that joins only after {@link #rejoin(JoinParameters)}. Until then it keeps its
     * view of the other members up to date.
     */
    public static ControlPlane createWithDeferredJoin(
            ControlOptions options, HostIdentity identity, ControlDependencies services) {
        return create(options, identity, services, false);
    }

    private static ControlPlane create(
            ControlOptions options, HostIdentity identity, ControlDependencies services, boolean joins) {
        SerialExecutor duty = services.executors().create("control", RING_CAPACITY);
        Random random = new Random(new SecureRandom().nextLong());
        ControlContext context = new ControlContext(options, identity, services, duty, random);
        return new ControlPlane(context, joins, duty::close);
    }

    /**
     * A control plane on a given executor.
     *
     * @param executor runs tasks one at a time in order
     * @param random source of member ids and jitter
     */
    public static ControlPlane create(
            ControlOptions options,
            HostIdentity identity,
            ControlDependencies services,
            Executor executor,
            Random random) {
        ControlContext context = new ControlContext(options, identity, services, executor, random);
        return new ControlPlane(context, true, () -> {});
    }

    /** Starts listing, joining and all periodic work. */
    public void start() {
        loop.start();
    }

    /** Member id of the present incarnation; known before the start, and changed by {@link #rejoin}. */
    public MemberId self() {
        return loop.self();
    }

    public RoutingView routing() {
        return loop.routing();
    }

    /** The lease of the present incarnation. */
    public LeaseView lease() {
        return loop.lease();
    }

    /** Adds a listener for seals of this daemon by others. */
    public void addIncarnationListener(IncarnationListener listener) {
        loop.addIncarnationListener(listener);
    }

    /**
     * A backend server announced itself; makes the member active. An unchanged announcement writes nothing. Announcements
     * are forgotten by {@link #rejoin}.
     */
    public void backendAnnounced(BackendInfo backend) {
        loop.backendAnnounced(backend);
    }

    /** Sets the state to leaving, so that the planner moves all ranges; done when the record says so. */
    public CompletableFuture<Void> leave() {
        return loop.leave();
    }

    /** Invalidates the lease at once and seals the own record; done when it is sealed. The end of a planned stop. */
    public CompletableFuture<Void> sealSelf() {
        return loop.sealSelf();
    }

    /** Ends the incarnation at once and leaves its record, for the next incarnation of this host to seal. */
    public CompletableFuture<Void> abandon() {
        return loop.abandon();
    }

    /** Joins under a new id after the former incarnation ended; fails with {@code INTERNAL} if it has not. */
    public CompletableFuture<MemberId> rejoin() {
        return rejoin(new JoinParameters(ControlLoop.newMemberId(context), false));
    }

    /** Joins under a chosen id; the former incarnation must have ended, or never have started. */
    public CompletableFuture<MemberId> rejoin(JoinParameters parameters) {
        return loop.rejoin(parameters);
    }

    /** State for operators, at most one tick old. */
    public ControlStatus status() {
        return loop.status();
    }

    /** Stops periodic work and the thread. Does not leave; see {@link #leave} and {@link #sealSelf}. */
    @Override
    public void close() {
        loop.close();
        closeThread.run();
    }
}
