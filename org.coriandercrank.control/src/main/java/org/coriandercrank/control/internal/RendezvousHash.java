package org.coriandercrank.control.internal;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.coriandercrank.kernel.id.MemberId;

/** Rendezvous hashing: each place orders members on its own, and a member that joins or leaves moves no other. Stateless. */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Members in the order of the place. */
    public static List<MemberId> order(String key, Collection<MemberId> members) {
        return members.stream().sorted(comparator(key)).toList();
    }

    /** Order of members for the place; ties are broken by id. */
    public static Comparator<MemberId> comparator(String key) {
        return Comparator.<MemberId>comparingLong(member -> hash(key, member)).thenComparing(Comparator.naturalOrder());
    }

    static long hash(String key, MemberId member) {
        return Hashing.murmur3_128()
                .hashString(key + "/" + member.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
