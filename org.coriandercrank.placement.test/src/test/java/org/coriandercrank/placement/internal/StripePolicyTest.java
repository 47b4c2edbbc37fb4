package org.coriandercrank.placement.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.placement.PlacementInput;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.junit.jupiter.api.Test;

/** Guards against hot spots of adjacent keys on a single server, and against unnecessary moves. */
class StripePolicyTest {
    private static final ServiceName SERVICE = new ServiceName("cards");
    private static final int KEY_BITS = 16;

    /** A granted range takes about 24 bytes, and the answer with all granted ranges of a server at most 4 KiB. */
    private static final int MAX_RANGES_PER_SERVER = 160;

    private final StripePolicy policy = new StripePolicy();

    /** In the workload of the users' platform, 200 adjacent keys of 65,536 are hot at the same time. */
    @Test
    void hotSpotOf200AdjacentKeysIsSharedBySeveralServers() {
        List<PlacedRange> placed = aligned(policy.place(input(members(4), List.of())));
        for (int first = 0; first + 200 <= 65_536; first += 50) {
            Map<MemberId, Integer> keys = keysByOwner(placed, first, first + 199);
            int maxKeys =
                    keys.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
            assertThat(keys.size()).as("servers of keys from %d", first).isGreaterThanOrEqualTo(2);
            assertThat(maxKeys).as("keys of one server from %d", first).isLessThanOrEqualTo(170);
        }
    }

    @Test
    void stripesOfLostServerAreSharedAndOthersStay() {
        List<Member> four = members(4);
        List<PlacedRange> before = aligned(policy.place(input(four, List.of())));
        List<PlacedRange> after = aligned(policy.place(input(four.subList(1, 4), before)));
        Map<MemberId, Double> shares = shares(after);
        assertThat(shares.keySet()).doesNotContain(four.get(0).id());
        shares.values().forEach(share -> assertThat(share).isBetween(0.30, 0.37));
        assertThat(movedShare(before, after)).isBetween(0.24, 0.26);
    }

    @Test
    void joiningServerGetsFairShareFromWholeHashSpace() {
        List<Member> four = members(4);
        List<PlacedRange> before = aligned(policy.place(input(four.subList(0, 3), List.of())));
        List<PlacedRange> after = aligned(policy.place(input(four, before)));
        assertThat(shares(after).get(four.get(3).id())).isBetween(0.22, 0.26);
        assertThat(movedShare(before, after)).isBetween(0.22, 0.26);
        for (int quarter = 0; quarter < 4; quarter++) {
            assertThat(keysByOwner(after, quarter * 16_384, quarter * 16_384 + 16_383))
                    .containsKey(four.get(3).id());
        }
    }

    @Test
    void stableTableIsNotChanged() {
        List<Member> four = members(4);
        List<PlacedRange> before = aligned(policy.place(input(four, List.of())));
        assertThat(movedShare(before, aligned(policy.place(input(four, before)))))
                .isZero();
    }

    /** Guards against servers whose granted ranges do not fit into one answer; such a server would get no grant. */
    @Test
    void rangesPerServerStayBoundedWhenServersJoinAndLeave() {
        List<Member> all = members(6);
        List<PlacedRange> placed = aligned(policy.place(input(all.subList(0, 4), List.of())));
        List<List<Member>> fleets = List.of(
                all.subList(1, 4), all.subList(2, 4), all.subList(2, 6), all.subList(0, 6), all.subList(4, 6), all);
        for (List<Member> fleet : fleets) {
            placed = aligned(policy.place(input(fleet, placed)));
            placed = aligned(policy.place(input(fleet, placed)));
            Map<MemberId, Integer> counts = grantedRangeCounts(placed);
            assertThat(counts.values()).allSatisfy(n -> assertThat(n).isLessThanOrEqualTo(MAX_RANGES_PER_SERVER));
        }
    }

    private static List<PlacedRange> aligned(List<PlacedRange> placed) {
        return RangeAlignment.align(placed, KEY_BITS);
    }

    /** Number of granted ranges by owner; adjacent ranges of the same owner count as one. */
    private static Map<MemberId, Integer> grantedRangeCounts(List<PlacedRange> placed) {
        Map<MemberId, Integer> counts = new HashMap<>();
        MemberId last = null;
        for (PlacedRange p : placed) {
            if (!p.owner().equals(last)) {
                counts.merge(p.owner(), 1, Integer::sum);
            }
            last = p.owner();
        }
        return counts;
    }

    private static Map<MemberId, Integer> keysByOwner(List<PlacedRange> placed, int first, int last) {
        Map<MemberId, Integer> keys = new HashMap<>();
        for (PlacedRange p : placed) {
            int from = Math.max(first, (int) (p.range().first().value() >>> 48));
            int to = Math.min(last, (int) (p.range().last().value() >>> 48));
            if (from <= to) {
                keys.merge(p.owner(), to - from + 1, Integer::sum);
            }
        }
        return keys;
    }

    private static Map<MemberId, Double> shares(List<PlacedRange> placed) {
        Map<MemberId, Double> shares = new HashMap<>();
        placed.forEach(p -> shares.merge(p.owner(), p.range().share(), Double::sum));
        return shares;
    }

    private static double movedShare(List<PlacedRange> before, List<PlacedRange> after) {
        double moved = 0;
        for (PlacedRange b : before) {
            for (PlacedRange a : after) {
                if (a.range().overlaps(b.range()) && !a.owner().equals(b.owner())) {
                    KeyHash first = a.range().first().compareTo(b.range().first()) > 0
                            ? a.range().first()
                            : b.range().first();
                    KeyHash last = a.range().last().compareTo(b.range().last()) < 0
                            ? a.range().last()
                            : b.range().last();
                    moved += new KeyRange(first, last).share();
                }
            }
        }
        return moved;
    }

    private static PlacementInput input(List<Member> members, List<PlacedRange> placed) {
        List<RangeAssignment> assignments = new ArrayList<>();
        placed.forEach(p -> assignments.add(new RangeAssignment(p.range(), p.owner(), new Generation(1), List.of())));
        return new PlacementInput(
                Configuration.EMPTY,
                members,
                new AssignmentTable(SERVICE, new Generation(placed.isEmpty() ? 0 : 1), assignments),
                Map.of(),
                100_000,
                0,
                100_000);
    }

    private static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String name = "host-" + i;
            HostAddress address = new HostAddress("10.0.0." + (i + 1), 7_000);
            BackendInfo backend = new BackendInfo("server-" + i, SERVICE, address, 18, 36, Set.of());
            members.add(new Member(
                    new MemberId(name),
                    address,
                    address,
                    address,
                    new Region("west"),
                    new FailureDomain("west-a"),
                    MemberState.ACTIVE,
                    Optional.of(backend),
                    List.of()));
        }
        return members;
    }
}
