package org.coriandercrank.lease;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * Votes that one holder received from its witnesses and the store.
 *
 * <p>A vote is valid for the TTL from the time at which the heartbeat or write was sent, not from the arrival of the
 * answer. Not thread safe. Times are monotonic, in nanoseconds.
 */
final class VoteTable {
    /** Answers are accepted only for this number of latest sequence numbers. */
    private static final int MAX_SENT_HEARTBEATS = 64;

    private record SentHeartbeat(Revision recordRevision, long sentAtNanos) {}

    private final LeaseTiming timing;
    private final long startNanos;
    private final Map<MemberId, Long> voteSentNanos = new HashMap<>();
    private final Map<Long, SentHeartbeat> sentHeartbeats = new LinkedHashMap<>();
    private long sequence;
    private OptionalLong lastHeartbeatNanos = OptionalLong.empty();
    private long storeVoteUntilNanos;

    VoteTable(LeaseTiming timing, long nowNanos) {
        this.timing = timing;
        this.startNanos = nowNanos;
        this.storeVoteUntilNanos = nowNanos;
    }

    boolean isHeartbeatDue(long nowNanos) {
        return lastHeartbeatNanos.isEmpty() || nowNanos - lastHeartbeatNanos.getAsLong() >= timing.heartbeatNanos();
    }

    /** Records that a round of heartbeats is sent and returns its sequence number. */
    long heartbeatSent(Revision recordRevision, long nowNanos) {
        lastHeartbeatNanos = OptionalLong.of(nowNanos);
        return extraHeartbeatSent(recordRevision, nowNanos);
    }

    /** Records that a heartbeat is sent which is not part of a round of all witnesses. */
    long extraHeartbeatSent(Revision recordRevision, long nowNanos) {
        sequence++;
        sentHeartbeats.put(sequence, new SentHeartbeat(recordRevision, nowNanos));
        sentHeartbeats.remove(sequence - MAX_SENT_HEARTBEATS);
        return sequence;
    }

    /** Records the vote of a witness for a round of heartbeats; an unknown sequence number has no effect. */
    void recordVote(MemberId witness, long answeredSequence) {
        SentHeartbeat heartbeat = sentHeartbeats.get(answeredSequence);
        if (heartbeat != null) {
            voteSentNanos.merge(witness, heartbeat.sentAtNanos(), Nanos::later);
        }
    }

    /**
     * Returns the record revision that a heartbeat carried; {@link Revision#NONE} if the heartbeat is no longer known.
     */
    Revision revisionOf(long answeredSequence) {
        SentHeartbeat heartbeat = sentHeartbeats.get(answeredSequence);
        return heartbeat == null ? Revision.NONE : heartbeat.recordRevision();
    }

    /** Records the vote of the store that comes with a successful write. */
    void recordStoreVote(long sentAtNanos) {
        storeVoteUntilNanos = Nanos.later(storeVoteUntilNanos, sentAtNanos + timing.ttlNanos());
    }

    /** Returns when the heartbeat was sent that the witness acknowledged last. */
    OptionalLong lastVoteNanos(MemberId witness) {
        Long sentNanos = voteSentNanos.get(witness);
        return sentNanos == null ? OptionalLong.empty() : OptionalLong.of(sentNanos);
    }

    /** Discards the votes of all members that are not in the set. */
    void retainVotes(Set<MemberId> witnesses) {
        voteSentNanos.keySet().retainAll(witnesses);
    }

    /** Returns the time until which a majority of the votes of the witnesses and the store is valid. */
    long validUntilNanos(List<MemberId> witnesses) {
        return majorityUntilNanos(witnesses, storeVoteUntilNanos);
    }

    /**
     * Whether a majority requires the vote of the store and can be had with it: the witnesses alone guarantee a majority
     * for less than half the TTL.
     */
    boolean needsStore(List<MemberId> witnesses, long nowNanos) {
        boolean expiring = majorityUntilNanos(witnesses, startNanos) - nowNanos < timing.ttlNanos() / 2;
        return expiring && majorityUntilNanos(witnesses, nowNanos + timing.ttlNanos()) - nowNanos > 0;
    }

    private long majorityUntilNanos(List<MemberId> witnesses, long storeUntilNanos) {
        long[] untilNanos = new long[witnesses.size() + 1];
        untilNanos[0] = storeUntilNanos;
        for (int i = 0; i < witnesses.size(); i++) {
            Long sentNanos = voteSentNanos.get(witnesses.get(i));
            untilNanos[i + 1] = sentNanos == null ? startNanos : sentNanos + timing.ttlNanos();
        }
        return kthLatest(untilNanos, Quorum.majority(witnesses.size()));
    }

    /** Returns the k-th latest time. Times are compared by difference, so sorting them by value would be wrong. */
    private static long kthLatest(long[] values, int k) {
        for (long candidate : values) {
            int atLeastCount = 0;
            int laterCount = 0;
            for (long value : values) {
                int order = Nanos.compare(value, candidate);
                atLeastCount += order >= 0 ? 1 : 0;
                laterCount += order > 0 ? 1 : 0;
            }
            if (laterCount < k && atLeastCount >= k) {
                return candidate;
            }
        }
        throw new IllegalStateException("fewer than " + k + " votes");
    }
}
