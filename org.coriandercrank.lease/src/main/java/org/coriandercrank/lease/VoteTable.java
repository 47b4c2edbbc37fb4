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
 * Votes of witnesses and the store for one holder. A vote counts from the instant the heartbeat or write was sent, never
 * from the arrival of its answer. Not thread safe.
 */
final class VoteTable {
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

    /** Notes a round of heartbeats and returns its sequence number. */
    long heartbeatSent(Revision recordRevision, long nowNanos) {
        sequence++;
        sentHeartbeats.put(sequence, new SentHeartbeat(recordRevision, nowNanos));
        sentHeartbeats.remove(sequence - MAX_SENT_HEARTBEATS);
        lastHeartbeatNanos = OptionalLong.of(nowNanos);
        return sequence;
    }

    void recordVote(MemberId witness, long answeredSequence) {
        SentHeartbeat heartbeat = sentHeartbeats.get(answeredSequence);
        if (heartbeat != null) {
            voteSentNanos.merge(witness, heartbeat.sentAtNanos(), Nanos::later);
        }
    }

    /** Record revision that a heartbeat carried; {@link Revision#NONE} if it is no longer known. */
    Revision revisionOf(long answeredSequence) {
        SentHeartbeat heartbeat = sentHeartbeats.get(answeredSequence);
        return heartbeat == null ? Revision.NONE : heartbeat.recordRevision();
    }

    void recordStoreVote(long sentAtNanos) {
        storeVoteUntilNanos = Nanos.later(storeVoteUntilNanos, sentAtNanos + timing.ttlNanos());
    }

    OptionalLong lastVoteNanos(MemberId witness) {
        Long voted = voteSentNanos.get(witness);
        return voted == null ? OptionalLong.empty() : OptionalLong.of(voted);
    }

    /** Forgets votes of all others. */
    void retainVotes(Set<MemberId> witnesses) {
        voteSentNanos.keySet().retainAll(witnesses);
    }

    /** Time until which a majority of the witnesses and the store is fresh. */
    long validUntilNanos(List<MemberId> witnesses) {
        return majorityUntilNanos(witnesses, storeVoteUntilNanos);
    }

    /** Time until which the witnesses alone are a majority of all votes. */
    long witnessMajorityUntilNanos(List<MemberId> witnesses) {
        return majorityUntilNanos(witnesses, startNanos);
    }

    private long majorityUntilNanos(List<MemberId> witnesses, long storeUntilNanos) {
        long[] until = new long[witnesses.size() + 1];
        until[0] = storeUntilNanos;
        for (int i = 0; i < witnesses.size(); i++) {
            Long voted = voteSentNanos.get(witnesses.get(i));
            until[i + 1] = voted == null ? startNanos : voted + timing.ttlNanos();
        }
        return kthLargest(until, Quorum.majority(witnesses.size()));
    }

    private static long kthLargest(long[] values, int k) {
        for (long candidate : values) {
            int atLeast = 0;
            int larger = 0;
            for (long value : values) {
                int order = Nanos.compare(value, candidate);
                atLeast += order >= 0 ? 1 : 0;
                larger += order > 0 ? 1 : 0;
            }
            if (larger < k && atLeast >= k) {
                return candidate;
            }
        }
        throw new IllegalStateException("fewer than " + k + " votes");
    }
}
