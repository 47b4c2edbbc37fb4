package org.coriandercrank.control.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Decides when a member changes its witnesses, and to which.
 *
 * <p>A witness that does not answer, or is not a member any more, is replaced at once. A set that is only better, with
 * another spread over failure domains, replaces the present one after a delay: members that start together see a better
 * set with each member that joins, and each change is a write that all daemons receive. Control thread only. Times are
 * those of the lease clock.
 */
final class WitnessReview {
    /** Time for which a better set is kept back while the present witnesses answer. */
    private static final long IMPROVEMENT_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final ControlContext context;
    private final ClusterView view;
    private final Function<MemberId, OptionalLong> lastVoteNanos;

    /** When each current witness was selected. */
    private final Map<MemberId, Long> selectedAtNanos = new HashMap<>();

    /** Until when each witness that timed out is not selected again. */
    private final Map<MemberId, Long> suspectUntilNanos = new HashMap<>();

    private long observedSinceNanos;
    private long lastSnapshotVersion;
    private Set<MemberId> lastSuspects = Set.of();
    private long nextRebalanceNanos;
    private OptionalLong improvementDueNanos = OptionalLong.empty();

    /** @param lastVoteNanos when a witness last voted; empty if it never did */
    WitnessReview(
            ControlContext context, ClusterView view, Function<MemberId, OptionalLong> lastVoteNanos, long nowNanos) {
        this.context = context;
        this.view = view;
        this.lastVoteNanos = lastVoteNanos;
        observedSinceNanos = nowNanos;
        nextRebalanceNanos = nowNanos + rebalanceDelayNanos();
    }

    /** Returns the members that do not answer this daemon. */
    Set<MemberId> suspects() {
        return new HashSet<>(suspectUntilNanos.keySet());
    }

    /** Notes that the silence of the witnesses is measured from now on. */
    void restartObservation(long nowNanos) {
        observedSinceNanos = nowNanos;
    }

    void answered(MemberId witness) {
        suspectUntilNanos.remove(witness);
    }

    void witnessesChanged(List<MemberId> witnesses, long nowNanos) {
        selectedAtNanos.keySet().retainAll(witnesses);
        witnesses.forEach(witness -> selectedAtNanos.putIfAbsent(witness, nowNanos));
    }

    /** Returns the best witnesses of a member. See {@link WitnessSelector#select}. */
    List<MemberId> select(Member member, boolean rebalance) {
        List<Member> others = view.current().members().values().stream()
                .map(VersionedMember::member)
                .filter(other -> !other.id().equals(member.id()))
                .filter(WitnessReview::isCandidate)
                .toList();
        return WitnessSelector.select(member, others, suspectUntilNanos.keySet(), member.witnesses(), rebalance);
    }

    /**
     * Marks witnesses that timed out as suspects and returns the witnesses to change to now, if any. A new selection
     * takes place only if the members or the suspects changed, or a rebalance or a better set is due.
     */
    Optional<List<MemberId>> review(Member member, long nowNanos) {
        updateSuspects(member.witnesses(), nowNanos);
        boolean rebalance = nowNanos - nextRebalanceNanos >= 0;
        if (rebalance) {
            nextRebalanceNanos = nowNanos + rebalanceDelayNanos();
        }
        boolean improvementDue = improvementDueNanos.isPresent() && nowNanos - improvementDueNanos.getAsLong() >= 0;
        long version = view.snapshotVersion();
        Set<MemberId> suspects = suspects();
        if (!rebalance && !improvementDue && version == lastSnapshotVersion && suspects.equals(lastSuspects)) {
            return Optional.empty();
        }
        lastSnapshotVersion = version;
        lastSuspects = suspects;
        List<MemberId> witnesses = select(member, rebalance);
        boolean changed = !witnesses.equals(member.witnesses());
        if (changed && !rebalance && !improvementDue && areUsable(member.witnesses(), suspects)) {
            if (improvementDueNanos.isEmpty()) {
                improvementDueNanos = OptionalLong.of(nowNanos + IMPROVEMENT_DELAY_NANOS);
            }
            return Optional.empty();
        }
        improvementDueNanos = OptionalLong.empty();
        return changed ? Optional.of(witnesses) : Optional.empty();
    }

    private void updateSuspects(List<MemberId> witnesses, long nowNanos) {
        suspectUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(context.options().witnessTimeoutMs());
        long retryDelayNanos = TimeUnit.MILLISECONDS.toNanos(context.options().witnessRetryDelayMs());
        for (MemberId witness : witnesses) {
            if (nowNanos - lastContactNanos(witness) > timeoutNanos) {
                suspectUntilNanos.put(witness, nowNanos + retryDelayNanos);
            } else {
                suspectUntilNanos.remove(witness);
            }
        }
    }

    /** Whether there are witnesses and all of them are members that answer. */
    private boolean areUsable(List<MemberId> witnesses, Set<MemberId> suspects) {
        return !witnesses.isEmpty()
                && witnesses.stream()
                        .allMatch(witness -> !suspects.contains(witness)
                                && view.member(witness)
                                        .filter(known -> isCandidate(known.member()))
                                        .isPresent());
    }

    private static boolean isCandidate(Member member) {
        return member.state() == MemberState.ACTIVE || member.state() == MemberState.JOINING;
    }

    /**
     * Returns the time from which the silence of a witness is measured: the latest of its last vote, its selection and
     * the start of the observation.
     */
    private long lastContactNanos(MemberId witness) {
        long latestNanos = observedSinceNanos;
        Long selectedNanos = selectedAtNanos.get(witness);
        if (selectedNanos != null && selectedNanos - latestNanos > 0) {
            latestNanos = selectedNanos;
        }
        OptionalLong votedNanos = lastVoteNanos.apply(witness);
        if (votedNanos.isPresent() && votedNanos.getAsLong() - latestNanos > 0) {
            latestNanos = votedNanos.getAsLong();
        }
        return latestNanos;
    }

    private long rebalanceDelayNanos() {
        return TimeUnit.MILLISECONDS.toNanos(
                context.jitteredMs(context.options().rebalanceIntervalMs()));
    }
}
