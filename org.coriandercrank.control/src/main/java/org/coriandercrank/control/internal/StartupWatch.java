package org.coriandercrank.control.internal;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.Member;

/** Decides whether a daemon that started must watch the store because no peer informs it yet. Control thread only. */
final class StartupWatch {
    private static final long NANOS_PER_MS = 1_000_000;

    /** A backend server that runs announces itself within this time, and the daemon then joins. */
    private static final long UNJOINED_WATCH_DELAY_NANOS = 3_000 * NANOS_PER_MS;

    /** Time after the join in which peers answer, so that of many daemons that start together only a few watch. */
    private static final long SETTLE_NANOS = 500 * NANOS_PER_MS;

    private final ControlContext context;
    private final ClusterView view;
    private final long startedNanos;
    private OptionalLong participatingSinceNanos = OptionalLong.empty();

    /** Members from which this daemon received a digest during its startup watch. */
    private final Set<MemberId> heardMembers = new HashSet<>();

    StartupWatch(ControlContext context, ClusterView view) {
        this.context = context;
        this.view = view;
        startedNanos = context.nowNanos();
    }

    /** Notes that this daemon has joined or is about to. */
    void participating(long nowNanos) {
        if (participatingSinceNanos.isEmpty()) {
            participatingSinceNanos = OptionalLong.of(nowNanos);
        }
    }

    /** Whether this daemon has joined so long ago that peers have answered. */
    boolean isSettled(long nowNanos) {
        return participatingSinceNanos.isPresent() && nowNanos - participatingSinceNanos.getAsLong() >= SETTLE_NANOS;
    }

    void heardFrom(MemberId peer) {
        if (isStarting(context.nowNanos())) {
            heardMembers.add(peer);
        }
    }

    /** Whether a daemon that does not join, for lack of a backend server, must watch the store: no peer informs it. */
    boolean isNeededUnjoined(long nowNanos) {
        return nowNanos - startedNanos > UNJOINED_WATCH_DELAY_NANOS;
    }

    /**
     * Whether this daemon has just joined and heard from no member that precedes it as relay of its region, so that
     * peers may not keep it up to date.
     */
    boolean isNeeded(Member self, long nowNanos) {
        return isStarting(nowNanos)
                && heardMembers.stream()
                        .flatMap(heard -> view.member(heard).stream())
                        .map(VersionedMember::member)
                        .filter(heard -> heard.region().equals(self.region()))
                        .noneMatch(heard -> RelayRanking.precedes(heard, self));
    }

    private boolean isStarting(long nowNanos) {
        long sinceNanos = participatingSinceNanos.orElse(nowNanos);
        return nowNanos - sinceNanos < context.options().startupWatchMs() * NANOS_PER_MS;
    }
}
