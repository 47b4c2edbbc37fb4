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
 * Distributes adjacent keys over all servers in narrow stripes. It suits services whose hashes preserve the order of
 * keys and whose hot keys are close together.
 *
 * <p>A hot spot lasts for seconds, which is less than it takes to detect it and to move its ranges. So the stripes are
 * laid out in advance so that a hot spot is shared by several servers, and ranges move only when servers join or leave.
 * Stateless and thread safe.
 */
public final class StripePolicy implements PlacementPolicy {
    /** Bounded because a server receives all its granted ranges in one message of a few kilobytes. */
    private static final int STRIPES_PER_MEMBER = 100;

    /** Bound on the number of stripes, which limits the size of the table. */
    private static final int MAX_STRIPES = 800;

    /** Number of ranges of a server above which its adjacent ranges are merged. */
    private static final int MERGE_ABOVE_PER_MEMBER = 120;

    /** Fraction of its fair share below which a server, such as one that has just joined, gets more stripes. */
    private static final double FILL_THRESHOLD = 0.6;

    /**
     * Added to the relative share of the owners of adjacent stripes when the new owner of a stripe is chosen; as a
     * fraction of the fair share.
     */
    private static final double NEIGHBOUR_PENALTY = 0.05;

    private static final String KEPT = "kept";

    /**
     * A range and its owner in the wanted table.
     *
     * @param stable whether no transfer of the range is in progress
     */
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
        for (RangeAssignment assignment : input.table().assignments()) {
            stripes.add(new Stripe(
                    assignment.range(),
                    assignment.owner(),
                    assignment.previousOwners().isEmpty(),
                    KEPT));
        }
        reassignOrphans(stripes, weights);
        fillUnderloaded(stripes, weights);
        return mergeNeighbours(stripes).stream()
                .map(s -> new PlacedRange(s.range(), s.owner(), s.reason()))
                .toList();
    }

    /** The first placement: stripes of equal width, assigned by weighted round-robin. */
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
     * Distributes the stripes of servers that are no longer candidates to the others. A server that owns an adjacent
     * stripe gets one only if its share is clearly lower than that of the others. If there are so many stripes that
     * they have to be merged, such a server is preferred.
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

    /**
     * Reassigns stripes that are spread over the whole hash space to servers that have far less than their fair share.
     */
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

    /** Merges adjacent stripes of each owner that has too many ranges. */
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
