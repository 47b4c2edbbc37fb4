package org.coriandercrank.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides from the heartbeats of the backend server on this host which member the daemon is.
 *
 * <p>A pure state machine with time as argument; not thread safe. Invariants: a member belongs to one incarnation of the
 * server; a server that was silent for longer than its grants can last, or that returns after it announced its leaving,
 * gets another member; a heartbeat of an earlier incarnation than the present one, or one that was overtaken by a later
 * one, changes nothing.
 */
public final class MemberLifecycle {
    /** What the daemon has to do, in order. */
    public sealed interface Action {
        /**
         * Use the server and join as a member of its own.
         *
         * @param joinAfterMs time in which the server may still hold what it got under the member before
         */
        record Attach(ServerIncarnation server, int life, long joinAfterMs) implements Action {}

        /**
         * Drop the server and end the member.
         *
         * @param replaced whether another member of this host follows at once
         */
        record Detach(String reason, boolean replaced) implements Action {}

        /** Ask the planner to move all ranges away; the server still works. */
        record Leave(ServerIncarnation server) implements Action {}

        /** Send the server no further request. */
        record Drain(ServerIncarnation server) implements Action {}

        /** Join without a server, so that requests of this host are routed. */
        record JoinAlone() implements Action {}
    }

    /**
     * Times. Immutable.
     *
     * @param silenceTimeoutMs time without a heartbeat after which no grant can be valid any more
     * @param joinAloneDelayMs time without a server after which the daemon joins without one
     * @param drainDelayMs time after the announcement of its leaving in which the server still gets requests
     */
    public record Timeouts(long silenceTimeoutMs, long joinAloneDelayMs, long drainDelayMs) {}

    private final Timeouts timeouts;
    private Optional<ServerIncarnation> current = Optional.empty();
    private Optional<ServerIncarnation> previous = Optional.empty();
    private long lastSequence;
    private int attachCount;
    private boolean leaving;
    private boolean drained;
    private boolean joinedAlone;
    private long lastHeartbeatNanos;
    private long leavingSinceNanos;
    private long withoutServerSinceNanos;

    public MemberLifecycle(Timeouts times, long nowNanos) {
        this.timeouts = times;
        this.withoutServerSinceNanos = nowNanos;
    }

    /** The server that the daemon uses. */
    public Optional<ServerIncarnation> current() {
        return current;
    }

    /**
     * A heartbeat.
     *
     * @param sequence grows with each heartbeat of an incarnation; one that does not was held up and says nothing new
     */
    public List<Action> onHeartbeat(ServerIncarnation server, long sequence, boolean serverLeaves, long nowNanos) {
        List<Action> actions = new ArrayList<>();
        boolean sameServer = current.equals(Optional.of(server));
        if (isOutdated(server) || (sameServer && sequence <= lastSequence)) {
            return actions;
        }
        lastSequence = sequence;
        boolean returned = leaving && !serverLeaves && sameServer;
        if (returned || (current.isPresent() && !sameServer)) {
            detach(returned ? "server-returned" : "server-replaced", true, nowNanos, actions);
        }
        lastHeartbeatNanos = nowNanos;
        if (current.isEmpty()) {
            attach(server, returned ? timeouts.silenceTimeoutMs() : 0, actions);
        }
        if (serverLeaves) {
            leave(nowNanos, actions);
        }
        return actions;
    }

    /** The server with an id said that it will end. */
    public List<Action> onDeregister(String id, long nowNanos) {
        List<Action> actions = new ArrayList<>();
        if (current.isPresent() && current.get().id().equals(id)) {
            leave(nowNanos, actions);
        }
        return actions;
    }

    /** Others sealed the member; a living server goes on under another one. */
    public List<Action> onMemberSealed(long nowNanos) {
        List<Action> actions = new ArrayList<>();
        Optional<ServerIncarnation> server = current;
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

    /** What is due by time. */
    public List<Action> onTick(long nowNanos) {
        List<Action> actions = new ArrayList<>();
        if (current.isPresent() && hasElapsed(lastHeartbeatNanos, timeouts.silenceTimeoutMs(), nowNanos)) {
            detach("server-silent", false, nowNanos, actions);
        }
        if (leaving && !drained && hasElapsed(leavingSinceNanos, timeouts.drainDelayMs(), nowNanos)) {
            drained = true;
            actions.add(new Action.Drain(current.orElseThrow()));
        }
        if (current.isEmpty() && !joinedAlone && hasElapsed(withoutServerSinceNanos, timeouts.joinAloneDelayMs(), nowNanos)) {
            joinedAlone = true;
            actions.add(new Action.JoinAlone());
        }
        return actions;
    }

    private boolean isOutdated(ServerIncarnation server) {
        Optional<ServerIncarnation> newest = current.isPresent() ? current : previous;
        return newest.isPresent() && server.bornMs() < newest.get().bornMs();
    }

    private void attach(ServerIncarnation server, long joinAfterMs, List<Action> actions) {
        if (joinedAlone) {
            actions.add(new Action.Detach("server-arrived", true));
        }
        joinedAlone = false;
        attachCount = previous.equals(Optional.of(server)) ? attachCount + 1 : 1;
        current = Optional.of(server);
        actions.add(new Action.Attach(server, attachCount, joinAfterMs));
    }

    private void leave(long nowNanos, List<Action> actions) {
        if (!leaving) {
            leaving = true;
            drained = false;
            leavingSinceNanos = nowNanos;
            actions.add(new Action.Leave(current.orElseThrow()));
        }
    }

    private void detach(String reason, boolean replaced, long nowNanos, List<Action> actions) {
        previous = current;
        current = Optional.empty();
        leaving = false;
        withoutServerSinceNanos = nowNanos;
        actions.add(new Action.Detach(reason, replaced));
    }

    private static boolean hasElapsed(long sinceNanos, long ms, long nowNanos) {
        return nowNanos - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
