package org.coriandercrank.kernel.ownership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.table.Member;

/**
 * Selects the one server that may get a confined request ({@link RequestQuarantine.Status#CONFINED}).
 *
 * <p>Daemons that know the same members select the same one, and the choice stays with the host when its server is
 * replaced (rendezvous hashing). Stateless and thread safe.
 */
public final class ConfinedRequests {
    private ConfinedRequests() {}

    /**
     * Returns the member whose server may get the request.
     *
     * @param members members whose servers can run the request, including those that have refused it
     */
    public static Optional<Member> server(RequestFingerprint request, Collection<Member> members) {
        return members.stream()
                .max(Comparator.comparingLong((Member member) -> rank(request, member))
                        .thenComparing(Member::id));
    }

    private static long rank(RequestFingerprint request, Member member) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(request.ofAnyCaller().value())
                .putString(member.peerAddress().toString(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
