package org.coriandercrank.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 *   <li>A heartbeat that arrives after a later one of the same incarnation has no effect.
 *   <li>A heartbeat of another incarnation is only a claim: start times come from clocks that step, and heartbeats are
 *       delayed. It takes the place of the current server if the process at the server's address confirms the id, or
 *       after the current server has been silent for as long as its grants are valid.
 *   <li>Only a process that listens at the address of an earlier server under another id proves the end of that server.
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

        /** Ask the process at the server's address for its id, and report the answer with {@link #onIdentified}. */
        record Identify(ServerIncarnation server) implements Action {}

        /** Note that the process at the server's address has the id of the attached server. */
        record Identified(ServerIncarnation server) implements Action {}

        /** Note that the process of the latest server has ended, because another one listens at its address. */
        record ServerEnded(ServerIncarnation server) implements Action {}

        /**
         * Note that the attached server is said to have started again under its id. That does not prove that it holds
         * nothing.
         */
        record ServerRestarted(ServerIncarnation server) implements Action {}

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

    /** A heartbeat whose sender is being identified. */
    private record Claim(ServerIncarnation server, long sequence, boolean serverLeaving, long arrivedNanos) {}

    private final Timeouts timeouts;
    private Optional<ServerIncarnation> currentServer = Optional.empty();
    private Optional<ServerIncarnation> previousServer = Optional.empty();

    /** Sequence of the latest heartbeat of the current server, or of the previous one if there is none. */
    private long lastSequence;

    /** Number of members that each incarnation has had; a member id is used once. */
    private final Map<ServerIncarnation, Integer> attachCounts = new HashMap<>();

    /** The heartbeat whose sender is being identified; it may be one of the current server. */
    private Optional<Claim> pendingClaim = Optional.empty();

    private final OutdatedHeartbeats outdatedHeartbeats;

    /** Whether the process at the address has confirmed the id of the current server. */
    private boolean identified;

    private long attachedNanos;

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
        outdatedHeartbeats = new OutdatedHeartbeats(timeouts.silenceTimeoutMs());
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
        Claim claim = new Claim(server, sequence, serverLeaving, nowNanos);
        boolean current = currentServer.equals(Optional.of(server));
        if (isOutdated(claim)) {
            outdatedHeartbeats.add(server, sequence, nowNanos);
        } else if (current) {
            onCurrentServerHeartbeat(sequence, serverLeaving, nowNanos, actions);
        }
        boolean identify = !current || (!identified && isIdentificationUseful(nowNanos));
        if (identify && !isIdentifying(nowNanos)) {
            pendingClaim = Optional.of(claim);
            actions.add(new Action.Identify(server));
        }
        return actions;
    }

    private void onCurrentServerHeartbeat(long sequence, boolean serverLeaving, long nowNanos, List<Action> actions) {
        ServerIncarnation server = currentServer.orElseThrow();
        lastSequence = sequence;
        lastHeartbeatNanos = nowNanos;
        if (leaving && !serverLeaving && !mayPrecedeStatement(nowNanos)) {
            boolean wasIdentified = identified;
            detach("server-returned", true, nowNanos, actions);
            attach(server, timeouts.silenceTimeoutMs(), nowNanos, actions);
            setIdentified(wasIdentified, actions);
        }
        if (serverLeaving) {
            leave(nowNanos, actions);
        }
    }

    /** Identification spares the wait for the grants of earlier servers, which have all ended after some time. */
    private boolean isIdentificationUseful(long nowNanos) {
        return !hasElapsed(attachedNanos, timeouts.silenceTimeoutMs(), nowNanos);
    }

    /** A claim without an answer is given up after some time, so that a lost answer does not end identification. */
    private boolean isIdentifying(long nowNanos) {
        return pendingClaim
                .filter(claim -> !hasElapsed(claim.arrivedNanos(), timeouts.silenceTimeoutMs(), nowNanos))
                .isPresent();
    }

    /**
     * Handles the answer to {@link Action.Identify}.
     *
     * @param idAtAddress id that the process at the server's address has stated; empty if there was no answer
     */
    public List<Action> onIdentified(ServerIncarnation server, Optional<String> idAtAddress, long nowNanos) {
        List<Action> actions = new ArrayList<>();
        Optional<Claim> answered = pendingClaim.filter(claim -> claim.server().equals(server));
        if (answered.isEmpty()) {
            return actions;
        }
        pendingClaim = Optional.empty();
        boolean confirmed = idAtAddress.equals(Optional.of(server.id()));
        if (idAtAddress.isPresent() && !confirmed) {
            return actions;
        }
        if (currentServer.equals(Optional.of(server))) {
            setIdentified(confirmed, actions);
        } else if (mayAttach(answered.orElseThrow(), confirmed)) {
            replaceServer(answered.orElseThrow(), confirmed, nowNanos, actions);
        }
        return actions;
    }

    /** Whether the sender of a heartbeat, which no other process has contradicted, takes the place of the current server. */
    private boolean mayAttach(Claim claim, boolean confirmed) {
        if (provesEndOfNewestServer(claim, confirmed)) {
            return true;
        }
        boolean outdated = isOutdated(claim);
        if (currentServer.isPresent()) {
            return !outdated && currentServer.get().id().equals(claim.server().id());
        }
        return !outdated || outdatedHeartbeats.havePersisted(claim.server());
    }

    private boolean provesEndOfNewestServer(Claim claim, boolean confirmed) {
        return confirmed
                && newestServer()
                        .filter(newest -> !newest.id().equals(claim.server().id()))
                        .isPresent();
    }

    /** Whether the sender started before the newest server, or sent a later heartbeat before, if the clocks are right. */
    private boolean isOutdated(Claim claim) {
        return newestServer()
                .filter(newest -> claim.server().bornMs() < newest.bornMs()
                        || (newest.equals(claim.server()) && claim.sequence() <= lastSequence))
                .isPresent();
    }

    private void replaceServer(Claim claim, boolean confirmed, long nowNanos, List<Action> actions) {
        if (provesEndOfNewestServer(claim, confirmed)) {
            actions.add(new Action.ServerEnded(newestServer().orElseThrow()));
        } else {
            currentServer.ifPresent(restarted -> actions.add(new Action.ServerRestarted(restarted)));
        }
        if (currentServer.isPresent()) {
            detach("server-replaced", true, nowNanos, actions);
        }
        lastSequence = claim.sequence();
        lastHeartbeatNanos = claim.arrivedNanos();
        attach(claim.server(), 0, nowNanos, actions);
        setIdentified(confirmed, actions);
        if (claim.serverLeaving()) {
            leave(nowNanos, actions);
        }
    }

    private void setIdentified(boolean confirmed, List<Action> actions) {
        if (confirmed && !identified) {
            actions.add(new Action.Identified(currentServer.orElseThrow()));
        }
        identified = confirmed;
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
            boolean wasIdentified = identified;
            detach("sealed-by-others", !wasLeaving, nowNanos, actions);
            if (!wasLeaving) {
                attach(server.get(), 0, nowNanos, actions);
                setIdentified(wasIdentified, actions);
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

    private void attach(ServerIncarnation server, long joinAfterMs, long nowNanos, List<Action> actions) {
        if (joinedAlone) {
            actions.add(new Action.Detach("server-arrived", true));
        }
        joinedAlone = false;
        currentServer = Optional.of(server);
        identified = false;
        attachedNanos = nowNanos;
        actions.add(new Action.Attach(server, attachCounts.merge(server, 1, Integer::sum), joinAfterMs));
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
