package org.coriandercrank.control.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/** The order in which the members of a region become its relay, by rendezvous hashing. Control thread only. */
final class RelayRanking {
    private final ClusterView view;
    private long rankedSnapshotVersion = -1;
    private Set<MemberId> rankedSuspects = Set.of();
    private Optional<MemberId> relay = Optional.empty();
    private int rank;

    RelayRanking(ClusterView view) {
        this.view = view;
    }

    /** Ranks the members again if they or the suspects have changed. */
    void update(Member self, Set<MemberId> suspects) {
        long version = view.snapshotVersion();
        if (version == rankedSnapshotVersion && suspects.equals(rankedSuspects)) {
            return;
        }
        rankedSnapshotVersion = version;
        rankedSuspects = Set.copyOf(suspects);
        List<MemberId> candidates = view.current().members().values().stream()
                .map(VersionedMember::member)
                .filter(member -> member.region().equals(self.region()))
                .filter(member -> member.state() == MemberState.ACTIVE || member.state() == MemberState.JOINING)
                .map(Member::id)
                .filter(member -> !suspects.contains(member))
                .toList();
        relay = candidates.stream().min(Comparator.comparingLong(member -> hash(self, member)));
        long ownHash = hash(self, self.id());
        rank = candidates.contains(self.id())
                ? (int) candidates.stream()
                        .filter(member -> hash(self, member) < ownHash)
                        .count()
                : candidates.size();
    }

    /** Returns the rank of this daemon; 0 is the relay. A daemon without a usable record ranks after all members. */
    int rank() {
        return rank;
    }

    boolean isRelayOfRegion(MemberId member) {
        return relay.equals(Optional.of(member));
    }

    /** Whether a member precedes another one of the same region. */
    static boolean precedes(Member member, Member other) {
        return hash(other, member.id()) < hash(other, other.id());
    }

    private static long hash(Member self, MemberId member) {
        return RendezvousHash.hash(self.region().value(), member);
    }
}
