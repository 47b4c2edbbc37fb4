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
 * Selects the witnesses of a member from its region: half in its own failure domain and half in others. If its region
 * has too few usable members, members of other regions are selected, and after these also suspects.
 *
 * <p>Current witnesses that are usable are kept. A new witness is the candidate with the lowest load, which is the
 * number of known member records that name it as a witness. Ties are broken by rendezvous hashing with the id of the
 * selecting member, so that members that select at the same time prefer different candidates. Not thread safe; used for
 * a single selection.
 */
public final class WitnessSelector {
    /** A smaller cluster has no witnesses; its members renew their leases through the store alone. */
    private static final int MIN_CLUSTER_SIZE = 3;

    /** Smallest number of members, including this one, of a large region. */
    private static final int LARGE_REGION_SIZE = 5;

    private static final int SMALL_REGION_WITNESSES = 2;
    private static final int LARGE_REGION_WITNESSES = 4;

    /**
     * A witness is replaced only for a candidate whose load is lower by at least this; less does not justify a write.
     */
    private static final int MIN_LOAD_DIFFERENCE = 2;

    private final Member self;
    private final Collection<Member> others;
    private final Set<MemberId> suspects;
    private final List<MemberId> current;
    private final Map<MemberId, Integer> witnessLoad = new HashMap<>();
    private final Set<MemberId> chosen = new LinkedHashSet<>();

    private WitnessSelector(Member self, Collection<Member> others, Set<MemberId> suspects, List<MemberId> current) {
        this.self = self;
        this.others = others;
        this.suspects = suspects;
        this.current = current;
        others.forEach(member -> member.witnesses().forEach(witness -> witnessLoad.merge(witness, 1, Integer::sum)));
    }

    /**
     * Selects the witnesses of a member.
     *
     * @param others members that may be witnesses, without the member itself
     * @param suspects members that do not answer; selected only if there are too few others
     * @param current current witnesses
     * @param rebalance whether to replace one witness whose load is clearly higher than that of another candidate
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
        Set<MemberId> keptWitnesses = new HashSet<>(current);
        if (rebalance) {
            mostLoadedReplaceable(usable.and(inDomain), usable.and(inRegion).and(inDomain.negate()))
                    .ifPresent(keptWitnesses::remove);
        }
        addFromGroup(usable.and(inDomain), count / 2, keptWitnesses);
        addFromGroup(usable.and(inRegion).and(inDomain.negate()), count, keptWitnesses);
        addFromGroup(usable.and(inRegion), count, keptWitnesses);
        addFromGroup(usable, count, keptWitnesses);
        addFromGroup(member -> true, count, Set.copyOf(current));
        return inCurrentOrder();
    }

    private int witnessCount() {
        if (others.size() + 1 < MIN_CLUSTER_SIZE) {
            return 0;
        }
        long inRegion =
                others.stream().filter(m -> m.region().equals(self.region())).count() + 1;
        return inRegion >= LARGE_REGION_SIZE ? LARGE_REGION_WITNESSES : SMALL_REGION_WITNESSES;
    }

    private int witnessLoad(MemberId member) {
        return witnessLoad.getOrDefault(member, 0);
    }

    /** Returns the current witness with the highest load whose group has a candidate with a clearly lower load. */
    @SafeVarargs
    private Optional<MemberId> mostLoadedReplaceable(Predicate<Member>... groups) {
        Optional<MemberId> result = Optional.empty();
        for (Predicate<Member> group : groups) {
            List<MemberId> members =
                    others.stream().filter(group).map(Member::id).toList();
            Optional<MemberId> mostLoaded =
                    members.stream().filter(current::contains).max(Comparator.comparingInt(this::witnessLoad));
            Optional<MemberId> leastLoaded = members.stream()
                    .filter(member -> !current.contains(member))
                    .min(Comparator.comparingInt(this::witnessLoad));
            boolean replaceable = mostLoaded.isPresent()
                    && leastLoaded.isPresent()
                    && witnessLoad(mostLoaded.get()) - witnessLoad(leastLoaded.get()) >= MIN_LOAD_DIFFERENCE;
            if (replaceable && (result.isEmpty() || witnessLoad(mostLoaded.get()) > witnessLoad(result.get()))) {
                result = mostLoaded;
            }
        }
        return result;
    }

    /** Adds members of the group, first those to keep, until there are {@code limit} witnesses. */
    private void addFromGroup(Predicate<Member> group, int limit, Set<MemberId> keptWitnesses) {
        Comparator<MemberId> byLoad = Comparator.comparing(this::witnessLoad);
        addInOrder(group.and(member -> keptWitnesses.contains(member.id())), limit, byLoad);
        addInOrder(
                group,
                limit,
                byLoad.thenComparing(RendezvousHash.comparator(self.id().value())));
    }

    private void addInOrder(Predicate<Member> group, int limit, Comparator<MemberId> order) {
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

    /** Returns the selection with kept witnesses in their current order, because an unchanged list needs no write. */
    private List<MemberId> inCurrentOrder() {
        List<MemberId> result = new ArrayList<>(current);
        result.retainAll(chosen);
        chosen.stream().filter(member -> !current.contains(member)).forEach(result::add);
        return List.copyOf(result);
    }
}
