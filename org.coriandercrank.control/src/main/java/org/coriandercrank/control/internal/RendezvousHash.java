package org.coriandercrank.control.internal;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.coriandercrank.kernel.id.MemberId;

/**
 * Rendezvous hashing of members: each key gives the members an order of its own, and a member that joins or leaves does
 * not change the relative order of the others. Stateless.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns the members in the order for the key. */
    public static List<MemberId> order(String key, Collection<MemberId> members) {
        return members.stream().sorted(comparator(key)).toList();
    }

    /** Returns a comparator with the order for the key; ties are broken by member id. */
    public static Comparator<MemberId> comparator(String key) {
        return Comparator.<MemberId>comparingLong(member -> hash(key, member)).thenComparing(Comparator.naturalOrder());
    }

    static long hash(String key, MemberId member) {
        return Hashing.murmur3_128()
                .hashString(key + "/" + member.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
