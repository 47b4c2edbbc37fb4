package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.placement.PlacementInput;
import org.coriandercrank.kernel.placement.PlacementPolicy;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.RangeAssignment;

/**
 * Spreads neighbouring keys over all servers in narrow stripes, for services whose positions keep the order of keys and
 * whose busy keys lie close together.
 *
 * <p>Hot spots last for seconds, less than it takes to notice them and to move their ranges. So the stripes are laid out
 * in advance such that a hot spot falls on several servers, and ranges move only when servers come and go. Stateless and
 * thread safe.
 */
public final class StripePolicy implements PlacementPolicy {
    /** A server takes its grants in one message of some kilobytes, which bounds its ranges. */
    private static final int STRIPES_PER_MEMBER = 100;

    /** Bounds the size of the table. */
    private static final int MAX_STRIPES = 800;

    /** Ranges of a server above which neighbours are merged. */
    private static final int MERGE_ABOVE_PER_MEMBER = 120;

    /** Share below the fair one at which a server gets more stripes, as after a join. */
    private static final double FILL_THRESHOLD = 0.6;

    /** Part of a fair share by which a neighbour's owner must have less than others to get a stripe. */
    private static final double NEIGHBOUR_PENALTY = 0.05;

    private static final String KEPT = "kept";

    /** A range and its owner in the wanted table. */
    private record Stripe(KeyRange range, MemberId owner, boolean stable, String reason) {
        Stripe withOwner(MemberId newOwner, String newReason) {
            return new Stripe(range, newOwner, false, newReason);
        }
    }

    @Override
    public List<PlacedRange> place(PlacementInput input) {
        Map<MemberId, Double> weights = ServerWeights.of(input);
        if (weights.isEmpty()) {
            return List.of();
        }
        if (input.table().assignments().isEmpty()) {
            return initialLayout(weights);
        }
        List<Stripe> stripes = new ArrayList<>();
        for (RangeAssignment a : input.table().assignments()) {
            stripes.add(new Stripe(a.range(), a.owner(), a.previousOwners().isEmpty(), KEPT));
        }
        reassignOrphans(stripes, weights);
        fillUnderloaded(stripes, weights);
        return mergeNeighbours(stripes).stream()
                .map(s -> new PlacedRange(s.range(), s.owner(), s.reason()))
                .toList();
    }

    /** Stripes of equal width; servers take turns in proportion to their weights. */
    private static List<PlacedRange> initialLayout(Map<MemberId, Double> weights) {
        int count = Math.min(MAX_STRIPES, STRIPES_PER_MEMBER * weights.size());
        List<Double> parts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            parts.add(1.0);
        }
        Map<MemberId, Double> credits = new HashMap<>();
        double total =
                weights.values().stream().mapToDouble(Double::doubleValue).sum();
        List<PlacedRange> placed = new ArrayList<>();
        for (KeyRange range : KeyRanges.divide(parts)) {
            weights.forEach((member, weight) -> credits.merge(member, weight, Double::sum));
            MemberId next = weights.keySet().stream()
                    .max(Comparator.comparingDouble((MemberId m) -> credits.get(m))
                            .thenComparing(Comparator.reverseOrder()))
                    .orElseThrow();
            credits.merge(next, -total, Double::sum);
            placed.add(new PlacedRange(range, next, "initial"));
        }
        return placed;
    }

    /**
     * Shares the stripes of lost servers among the others. A neighbour's owner gets one only if it has clearly less than
     * others, unless there are so many stripes that they have to be joined.
     */
    private static void reassignOrphans(List<Stripe> stripes, Map<MemberId, Double> weights) {
        Map<MemberId, Double> shares = shares(stripes);
        double total =
                weights.values().stream().mapToDouble(Double::doubleValue).sum();
        boolean mergeNeeded = stripes.size() > MERGE_ABOVE_PER_MEMBER * weights.size();
        double neighbourPenalty = mergeNeeded ? -NEIGHBOUR_PENALTY : NEIGHBOUR_PENALTY;
        for (int i = 0; i < stripes.size(); i++) {
            Stripe stripe = stripes.get(i);
            if (weights.containsKey(stripe.owner())) {
                continue;
            }
            Set<MemberId> neighbours = neighbours(stripes, i);
            MemberId owner = weights.keySet().stream()
                    .min(Comparator.comparingDouble(
                                    (MemberId m) -> shares.getOrDefault(m, 0.0) / (weights.get(m) / total)
                                            + (neighbours.contains(m) ? neighbourPenalty : 0))
                            .thenComparing(Comparator.naturalOrder()))
                    .orElseThrow();
            shares.merge(owner, stripe.range().share(), Double::sum);
            stripes.set(i, stripe.withOwner(owner, "owner-leaves"));
        }
    }

    private static Set<MemberId> neighbours(List<Stripe> stripes, int index) {
        Set<MemberId> owners = new HashSet<>();
        if (index > 0) {
            owners.add(stripes.get(index - 1).owner());
        }
        if (index + 1 < stripes.size()) {
            owners.add(stripes.get(index + 1).owner());
        }
        return owners;
    }

    /** Gives stripes from all over the key space to servers that have far less than their share. */
    private static void fillUnderloaded(List<Stripe> stripes, Map<MemberId, Double> weights) {
        double total =
                weights.values().stream().mapToDouble(Double::doubleValue).sum();
        Map<MemberId, Double> shares = shares(stripes);
        for (MemberId receiver : weights.keySet()) {
            double fairShare = weights.get(receiver) / total;
            if (shares.getOrDefault(receiver, 0.0) >= FILL_THRESHOLD * fairShare) {
                continue;
            }
            for (int i = 0; i < stripes.size() && shares.getOrDefault(receiver, 0.0) < fairShare; i++) {
                Stripe stripe = stripes.get(i);
                double donorFairShare = weights.get(stripe.owner()) / total;
                double width = stripe.range().share();
                double visitedFraction = (double) (i + 1) / stripes.size();
                boolean belowQuota = shares.getOrDefault(receiver, 0.0) + width <= fairShare * visitedFraction + width;
                boolean donorHasSurplus = shares.get(stripe.owner()) - width >= donorFairShare;
                if (stripe.stable()
                        && donorHasSurplus
                        && belowQuota
                        && !stripe.owner().equals(receiver)) {
                    shares.merge(stripe.owner(), -width, Double::sum);
                    shares.merge(receiver, width, Double::sum);
                    stripes.set(i, stripe.withOwner(receiver, "server-joins"));
                }
            }
        }
    }

    private static Map<MemberId, Double> shares(List<Stripe> stripes) {
        Map<MemberId, Double> shares = new HashMap<>();
        stripes.forEach(s -> shares.merge(s.owner(), s.range().share(), Double::sum));
        return shares;
    }

    /** Joins neighbours of one owner that has too many ranges. */
    private static List<Stripe> mergeNeighbours(List<Stripe> stripes) {
        Map<MemberId, Integer> counts = new HashMap<>();
        stripes.forEach(s -> counts.merge(s.owner(), 1, Integer::sum));
        List<Stripe> result = new ArrayList<>();
        for (Stripe stripe : stripes) {
            Optional<Stripe> last = result.isEmpty() ? Optional.empty() : Optional.of(result.get(result.size() - 1));
            boolean mergeable = last.isPresent()
                    && last.get().owner().equals(stripe.owner())
                    && last.get().stable()
                    && stripe.stable()
                    && counts.get(stripe.owner()) > MERGE_ABOVE_PER_MEMBER;
            if (mergeable) {
                counts.merge(stripe.owner(), -1, Integer::sum);
                KeyRange mergedRange = KeyRanges.join(last.get().range(), stripe.range());
                result.set(result.size() - 1, new Stripe(mergedRange, stripe.owner(), true, KEPT));
            } else {
                result.add(stripe);
            }
        }
        return result;
    }
}
