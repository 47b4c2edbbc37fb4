package org.coriandercrank.control.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.table.Member;

/**
 * Choice of the witnesses of a member: half in its own failure domain and half in others, of its region.
 *
 * <p>Usable witnesses are kept. A new one is the member with the fewest duties as witness, by the records known here;
 * ties are broken by rendezvous hashing for the choosing member, so that members that choose at the same time spread.
 * Not thread safe; made for one choice.
 */
public final class WitnessSelector {
    private static final int MIN_FLEET = 3;
    private static final int LARGE_REGION = 5;
    private static final int FEW_WITNESSES = 2;
    private static final int MANY_WITNESSES = 4;

    /** A smaller difference of duties is not worth a write. */
    private static final int MIN_DUTY_DIFFERENCE = 2;

    private final Member self;
    private final Collection<Member> others;
    private final Set<MemberId> suspects;
    private final List<MemberId> current;
    private final Map<MemberId, Integer> duties = new HashMap<>();
    private final Set<MemberId> chosen = new LinkedHashSet<>();

    private WitnessSelector(Member self, Collection<Member> others, Set<MemberId> suspects, List<MemberId> current) {
        this.self = self;
        this.others = others;
        this.suspects = suspects;
        this.current = current;
        others.forEach(member -> member.witnesses().forEach(witness -> duties.merge(witness, 1, Integer::sum)));
    }

    /**
     * Witnesses of a member.
     *
     * @param others members that may be witnesses, without the member itself
     * @param suspects members that do not answer; chosen only where there are too few others
     * @param current present witnesses
     * @param rebalance whether to replace one witness that has clearly more duties than another candidate
     */
    public static List<MemberId> select(
            Member self, Collection<Member> others, Set<MemberId> suspects, List<MemberId> current, boolean rebalance) {
        return new WitnessSelector(self, others, suspects, current).select(rebalance);
    }

    private List<MemberId> select(boolean rebalance) {
        int count = witnessCount();
        Predicate<Member> inRegion = member -> member.region().equals(self.region());
        Predicate<Member> inDomain =
                inRegion.and(member -> member.failureDomain().equals(self.failureDomain()));
        Predicate<Member> usable = member -> !suspects.contains(member.id());
        Set<MemberId> kept = new HashSet<>(current);
        if (rebalance) {
            mostBusyReplaceable(usable.and(inDomain), usable.and(inRegion).and(inDomain.negate()))
                    .ifPresent(kept::remove);
        }
        take(usable.and(inDomain), count / 2, kept);
        take(usable.and(inRegion).and(inDomain.negate()), count, kept);
        take(usable.and(inRegion), count, kept);
        take(usable, count, kept);
        take(member -> true, count, Set.copyOf(current));
        return inCurrentOrder();
    }

    private int witnessCount() {
        if (others.size() + 1 < MIN_FLEET) {
            return 0;
        }
        long inRegion =
                others.stream().filter(m -> m.region().equals(self.region())).count() + 1;
        return inRegion >= LARGE_REGION ? MANY_WITNESSES : FEW_WITNESSES;
    }

    private int duties(MemberId member) {
        return duties.getOrDefault(member, 0);
    }

    /** The current witness with the most duties for which its group has a member with clearly fewer. */
    @SafeVarargs
    private Optional<MemberId> mostBusyReplaceable(Predicate<Member>... groups) {
        Optional<MemberId> result = Optional.empty();
        for (Predicate<Member> group : groups) {
            List<MemberId> members =
                    others.stream().filter(group).map(Member::id).toList();
            Optional<MemberId> busy =
                    members.stream().filter(current::contains).max(Comparator.comparingInt(this::duties));
            Optional<MemberId> idle = members.stream()
                    .filter(member -> !current.contains(member))
                    .min(Comparator.comparingInt(this::duties));
            boolean replaceable = busy.isPresent()
                    && idle.isPresent()
                    && duties(busy.get()) - duties(idle.get()) >= MIN_DUTY_DIFFERENCE;
            if (replaceable && (result.isEmpty() || duties(busy.get()) > duties(result.get()))) {
                result = busy;
            }
        }
        return result;
    }

    private void take(Predicate<Member> group, int limit, Set<MemberId> kept) {
        Comparator<MemberId> byDuties = Comparator.comparing(this::duties);
        fill(group.and(member -> kept.contains(member.id())), limit, byDuties);
        fill(
                group,
                limit,
                byDuties.thenComparing(Rendezvous.comparator(self.id().value())));
    }

    private void fill(Predicate<Member> group, int limit, Comparator<MemberId> order) {
        if (chosen.size() < limit) {
            others.stream()
                    .filter(group)
                    .map(Member::id)
                    .filter(member -> !chosen.contains(member))
                    .sorted(order)
                    .limit(limit - chosen.size())
                    .forEach(chosen::add);
        }
    }

    /** Keeps the order of witnesses that stay, because an unchanged list needs no write. */
    private List<MemberId> inCurrentOrder() {
        List<MemberId> result = new ArrayList<>(current);
        result.retainAll(chosen);
        chosen.stream().filter(member -> !current.contains(member)).forEach(result::add);
        return List.copyOf(result);
    }
}
