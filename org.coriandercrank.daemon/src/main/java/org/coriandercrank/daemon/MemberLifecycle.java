package org.coriandercrank.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * State machine that decides, from the heartbeats of the backend server on this host, when the daemon joins as a new
 * member and when its member ends.
 *
 * <p>Methods take the current time as an argument and return the actions to perform. Not thread safe. Invariants:
 *
 * <ul>
 *   <li>A member belongs to one incarnation of the server.
 *   <li>A server gets a new member if it was silent for longer than its grants can be valid, or if it announces that it
 *       is leaving and then reports that it stays.
 *   <li>A heartbeat of an earlier incarnation, or one that arrives after a later one of the same incarnation, has no
 *       effect.
 * </ul>
 */
public final class MemberLifecycle {
    /** An action that the daemon must perform; actions are performed in the order in which they are returned. */
    public sealed interface Action {
        /**
         * Attach the server and join as a new member.
         *
         * @param life 1 for the first member of the incarnation, and one more for each further member; part of the
         *     member id
         * @param joinAfterMs delay before the join, in which the server may still hold ranges of its previous member
         */
        record Attach(ServerIncarnation server, int life, long joinAfterMs) implements Action {}

        /**
         * End the member and send the server no more requests. The server may live and hold what the member has granted,
         * unless {@link ServerEnded} came before.
         *
         * @param replaced whether another member of this host follows immediately
         */
        record Detach(String reason, boolean replaced) implements Action {}

        /** Note that the process of the latest server has ended, because another one has started in its place. */
        record ServerEnded(ServerIncarnation server) implements Action {}

        /** Mark the member as leaving, so that the planner moves its ranges; the server still receives requests. */
        record Leave(ServerIncarnation server) implements Action {}

        /** Stop sending requests to the server. */
        record Drain(ServerIncarnation server) implements Action {}

        /** Join without a server, so that requests from callers on this host are routed. */
        record JoinAlone() implements Action {}
    }

    /**
     * Durations. Immutable.
     *
     * @param silenceTimeoutMs time without a heartbeat after which no grant of the server is valid
     * @param joinAloneDelayMs time without a server after which the daemon joins without one
     * @param drainDelayMs time for which a server still receives requests after it announced that it is leaving
     */
    public record Timeouts(long silenceTimeoutMs, long joinAloneDelayMs, long drainDelayMs) {}

    private final Timeouts timeouts;
    private Optional<ServerIncarnation> currentServer = Optional.empty();
    private Optional<ServerIncarnation> previousServer = Optional.empty();

    /** Sequence of the latest heartbeat of the current server, or of the previous one if there is none. */
    private long lastSequence;

    /** Number of successive members of the current server. */
    private int attachCount;

    private boolean leaving;
    private boolean drained;
    private boolean joinedAlone;
    private long lastHeartbeatNanos;
    private long leavingSinceNanos;

    /** Time at which the current server last stated, other than by a heartbeat, that it is leaving. */
    private OptionalLong leavingStatedNanos = OptionalLong.empty();

    private long withoutServerSinceNanos;

    public MemberLifecycle(Timeouts timeouts, long nowNanos) {
        this.timeouts = timeouts;
        this.withoutServerSinceNanos = nowNanos;
    }

    /** Returns the server that is attached. */
    public Optional<ServerIncarnation> currentServer() {
        return currentServer;
    }

    /** Whether the attached server has announced that it will end. */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Handles a heartbeat.
     *
     * @param sequence increases with each heartbeat of an incarnation; a heartbeat with a lower sequence was delayed
     *     and is ignored
     * @param serverLeaving whether the heartbeat announces that the server will end
     */
    public List<Action> onHeartbeat(ServerIncarnation server, long sequence, boolean serverLeaving, long nowNanos) {
        List<Action> actions = new ArrayList<>();
        boolean sameServer = currentServer.equals(Optional.of(server));
        boolean sameIncarnation = newestServer().equals(Optional.of(server));
        if (isOutdated(server) || (sameIncarnation && sequence <= lastSequence)) {
            return actions;
        }
        lastSequence = sequence;
        boolean leaveWithdrawn = leaving && !serverLeaving && sameServer && !mayPrecedeStatement(nowNanos);
        newestServer()
                .filter(newest -> !newest.equals(server))
                .ifPresent(ended -> actions.add(new Action.ServerEnded(ended)));
        if (leaveWithdrawn || (currentServer.isPresent() && !sameServer)) {
            detach(leaveWithdrawn ? "server-returned" : "server-replaced", true, nowNanos, actions);
        }
        lastHeartbeatNanos = nowNanos;
        if (currentServer.isEmpty()) {
            attach(server, leaveWithdrawn ? timeouts.silenceTimeoutMs() : 0, actions);
        }
        if (serverLeaving) {
            leave(nowNanos, actions);
        }
        return actions;
    }

    /** Handles the announcement by the server with the given id that it will end. */
    public List<Action> onDeregister(String id, long nowNanos) {
        List<Action> actions = new ArrayList<>();
        if (currentServer.isPresent() && currentServer.get().id().equals(id)) {
            leavingStatedNanos = OptionalLong.of(nowNanos);
            leave(nowNanos, actions);
        }
        return actions;
    }

    /** Handles a response in which a server states that it is leaving; it may arrive before a heartbeat says so. */
    public List<Action> onLeavingStated(ServerIncarnation server, long nowNanos) {
        List<Action> actions = new ArrayList<>();
        if (currentServer.equals(Optional.of(server))) {
            leavingStatedNanos = OptionalLong.of(nowNanos);
            leave(nowNanos, actions);
        }
        return actions;
    }

    /** Handles the sealing of the member by another daemon. A server that is not leaving gets a new member. */
    public List<Action> onMemberSealed(long nowNanos) {
        List<Action> actions = new ArrayList<>();
        Optional<ServerIncarnation> server = currentServer;
        if (server.isPresent()) {
            boolean wasLeaving = leaving;
            detach("sealed-by-others", !wasLeaving, nowNanos, actions);
            if (!wasLeaving) {
                attach(server.get(), 0, actions);
            }
        } else if (joinedAlone) {
            joinedAlone = false;
            withoutServerSinceNanos = nowNanos;
        }
        return actions;
    }

    /** Returns the actions that are due because of elapsed time. */
    public List<Action> onTick(long nowNanos) {
        List<Action> actions = new ArrayList<>();
        if (currentServer.isPresent() && hasElapsed(lastHeartbeatNanos, timeouts.silenceTimeoutMs(), nowNanos)) {
            detach("server-silent", false, nowNanos, actions);
        }
        if (leaving && !drained && hasElapsed(leavingSinceNanos, timeouts.drainDelayMs(), nowNanos)) {
            drained = true;
            actions.add(new Action.Drain(currentServer.orElseThrow()));
        }
        if (currentServer.isEmpty()
                && !joinedAlone
                && hasElapsed(withoutServerSinceNanos, timeouts.joinAloneDelayMs(), nowNanos)) {
            joinedAlone = true;
            actions.add(new Action.JoinAlone());
        }
        return actions;
    }

    /** Whether a heartbeat that arrives now may have been sent before the server stated that it is leaving. */
    private boolean mayPrecedeStatement(long nowNanos) {
        return leavingStatedNanos.isPresent()
                && !hasElapsed(leavingStatedNanos.getAsLong(), timeouts.silenceTimeoutMs(), nowNanos);
    }

    private Optional<ServerIncarnation> newestServer() {
        return currentServer.isPresent() ? currentServer : previousServer;
    }

    private boolean isOutdated(ServerIncarnation server) {
        Optional<ServerIncarnation> newest = newestServer();
        return newest.isPresent() && server.bornMs() < newest.get().bornMs();
    }

    private void attach(ServerIncarnation server, long joinAfterMs, List<Action> actions) {
        if (joinedAlone) {
            actions.add(new Action.Detach("server-arrived", true));
        }
        joinedAlone = false;
        attachCount = previousServer.equals(Optional.of(server)) ? attachCount + 1 : 1;
        currentServer = Optional.of(server);
        actions.add(new Action.Attach(server, attachCount, joinAfterMs));
    }

    private void leave(long nowNanos, List<Action> actions) {
        if (!leaving) {
            leaving = true;
            drained = false;
            leavingSinceNanos = nowNanos;
            actions.add(new Action.Leave(currentServer.orElseThrow()));
        }
    }

    private void detach(String reason, boolean replaced, long nowNanos, List<Action> actions) {
        previousServer = currentServer;
        currentServer = Optional.empty();
        leaving = false;
        leavingStatedNanos = OptionalLong.empty();
        withoutServerSinceNanos = nowNanos;
        actions.add(new Action.Detach(reason, replaced));
    }

    private static boolean hasElapsed(long sinceNanos, long durationMs, long nowNanos) {
        return nowNanos - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(durationMs);
    }
}
