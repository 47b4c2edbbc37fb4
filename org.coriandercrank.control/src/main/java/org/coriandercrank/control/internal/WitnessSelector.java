package org.coriandercrank.control.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.table.Member;

/**
 * Choice of the witnesses of a member: half in its own failure domain and half in others, of its region, by rendezvous
 * hashing, so that each member is witness of about as many others as it has witnesses itself. Stateless.
 */
public final class WitnessSelector {
    private static final int MIN_FLEET = 3;
    private static final int LARGE_REGION = 5;
    private static final int FEW_WITNESSES = 2;
    private static final int MANY_WITNESSES = 4;

    private WitnessSelector() {}

    /**
     * Witnesses of a member.
     *
     * @param others members that may be witnesses, without the member itself
     * @param suspects members that do not answer; chosen only where there are too few others
     * @param current present witnesses; usable ones are kept unless {@code rebalance} asks for the order of the hash
     */
    public static List<MemberId> select(
            Member self, Collection<Member> others, Set<MemberId> suspects, List<MemberId> current, boolean rebalance) {
        int count = witnessCount(self, others);
        Comparator<Member> byHash =
                Comparator.comparing(Member::id, Rendezvous.comparator(self.id().value()));
        Comparator<Member> order = rebalance
                ? byHash
                : Comparator.<Member, Boolean>comparing(m -> !current.contains(m.id()))
                        .thenComparing(byHash);
        List<Member> usable = others.stream()
                .filter(member -> !suspects.contains(member.id()))
                .sorted(order)
                .toList();
        Predicate<Member> sameRegion = member -> member.region().equals(self.region());
        Predicate<Member> sameDomain =
                sameRegion.and(member -> member.failureDomain().equals(self.failureDomain()));
        Set<MemberId> chosen = new LinkedHashSet<>();
        take(usable, sameDomain, count / 2, chosen);
        take(usable, sameRegion.and(sameDomain.negate()), count, chosen);
        take(usable, sameRegion, count, chosen);
        take(usable, member -> true, count, chosen);
        take(others.stream().sorted(order).toList(), member -> true, count, chosen);
        return inCurrentOrder(chosen, current);
    }

    private static int witnessCount(Member self, Collection<Member> others) {
        if (others.size() + 1 < MIN_FLEET) {
            return 0;
        }
        long inRegion =
                others.stream().filter(m -> m.region().equals(self.region())).count() + 1;
        return inRegion >= LARGE_REGION ? MANY_WITNESSES : FEW_WITNESSES;
    }

    private static void take(List<Member> candidates, Predicate<Member> filter, int limit, Set<MemberId> chosen) {
        for (Member candidate : candidates) {
            if (chosen.size() >= limit) {
                return;
            }
            if (filter.test(candidate)) {
                chosen.add(candidate.id());
            }
        }
    }

    /** Keeps the order of witnesses that stay, because an unchanged list needs no write. */
    private static List<MemberId> inCurrentOrder(Set<MemberId> chosen, List<MemberId> current) {
        List<MemberId> result = new ArrayList<>(current);
        result.retainAll(chosen);
        chosen.stream().filter(member -> !current.contains(member)).forEach(result::add);
        return List.copyOf(result);
    }
}
