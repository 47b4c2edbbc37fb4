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
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.junit.jupiter.api.Test;

/** Guards against hot spots of neighbouring keys on one server, and against moves that nobody needs. */
class StripePolicyTest {
    private static final ServiceName SERVICE = new ServiceName("cards");
    private static final int KEY_BITS = 16;

    /** Rows of some 24 bytes in an answer of at most 4 KiB. */
    private static final int MAX_RANGES_PER_SERVER = 160;

    private final StripePolicy policy = new StripePolicy();

    /** Neighbouring keys that are hot together, as on the users' days: 200 of 65,536. */
    @Test
    void everyHotSpotOfTwoHundredKeysFallsOnSeveralServers() {
        List<PlacedRange> placed = aligned(policy.place(input(members(4), List.of())));
        for (int first = 0; first + 200 <= 65_536; first += 50) {
            Map<MemberId, Integer> keys = keysByOwner(placed, first, first + 199);
            int most = keys.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
            assertThat(keys.size()).as("servers of keys from %d", first).isGreaterThanOrEqualTo(2);
            assertThat(most).as("keys of one server from %d", first).isLessThanOrEqualTo(170);
        }
    }

    @Test
    void loadOfALostServerIsSharedByTheOthersAndNothingElseMoves() {
        List<Member> four = members(4);
        List<PlacedRange> before = aligned(policy.place(input(four, List.of())));
        List<PlacedRange> after = aligned(policy.place(input(four.subList(1, 4), before)));
        Map<MemberId, Double> shares = shares(after);
        assertThat(shares.keySet()).doesNotContain(four.get(0).id());
        shares.values().forEach(share -> assertThat(share).isBetween(0.30, 0.37));
        assertThat(movedShare(before, after)).isBetween(0.24, 0.26);
    }

    @Test
    void joinerGetsItsShareFromAllOverTheKeys() {
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
    void settledTableStandsStill() {
        List<Member> four = members(4);
        List<PlacedRange> before = aligned(policy.place(input(four, List.of())));
        assertThat(movedShare(before, aligned(policy.place(input(four, before)))))
                .isZero();
    }

    /** Four servers of half, normal, normal and one and a half times the speed under a load that the slow one cannot do. */
    @Test
    void slowServerGivesStripesAwayUntilAllAreEquallyBusy() {
        List<Member> four = members(4);
        List<Double> speeds = List.of(0.5, 1.0, 1.0, 1.5);
        List<PlacedRange> placed = aligned(policy.place(input(four, List.of())));
        List<PlacedRange> before = placed;
        assertThat(busiest(four, speeds, placed)).isGreaterThan(1.0);
        for (int change = 0; change < 4; change++) {
            List<PlacedRange> next =
                    aligned(policy.place(input(four, placed, loads(four, placed), times(four, speeds))));
            assertThat(movedShare(placed, next)).isLessThan(0.10);
            placed = next;
        }
        assertThat(busiest(four, speeds, placed)).isLessThan(0.8);
        assertThat(shares(placed).get(four.get(0).id())).isBetween(0.12, 0.19);
        assertThat(movedShare(before, placed)).isLessThan(0.15);
        assertThat(movedShare(
                        placed, aligned(policy.place(input(four, placed, loads(four, placed), times(four, speeds))))))
                .isZero();
    }

    /** Times of calls vary by an eighth from server to server although their speeds are equal. */
    @Test
    void equalServersKeepTheirStripesUnderLoad() {
        List<Member> four = members(4);
        List<PlacedRange> placed = aligned(policy.place(input(four, List.of())));
        Map<MemberId, Double> times = times(four, List.of(0.88, 1.0, 1.06, 1.12));
        assertThat(movedShare(placed, aligned(policy.place(input(four, placed, loads(four, placed), times)))))
                .isZero();
    }

    @Test
    void slowServerKeepsItsStripesWhileItIsIdle() {
        List<Member> four = members(4);
        List<PlacedRange> placed = aligned(policy.place(input(four, List.of())));
        Map<MemberId, Double> times = times(four, List.of(0.5, 1.0, 1.0, 1.5));
        assertThat(movedShare(placed, aligned(policy.place(input(four, placed, Map.of(), times)))))
                .isZero();
    }

    /** A server that stalls must not lose nearly all its keys, which would come back later. */
    @Test
    void stalledServerKeepsAShare() {
        List<Member> four = members(4);
        List<PlacedRange> placed = aligned(policy.place(input(four, List.of())));
        Map<MemberId, Double> times = times(four, List.of(0.01, 1.0, 1.0, 1.0));
        for (int change = 0; change < 6; change++) {
            placed = aligned(policy.place(input(four, placed, loads(four, placed), times)));
        }
        assertThat(shares(placed).get(four.get(0).id())).isGreaterThan(0.05);
    }

    /** A server that cannot take its grants in one answer gets none. */
    @Test
    void rangesOfAServerStayBoundedWhenServersComeAndGo() {
        List<Member> all = members(6);
        List<PlacedRange> placed = aligned(policy.place(input(all.subList(0, 4), List.of())));
        List<List<Member>> fleets = List.of(
                all.subList(1, 4), all.subList(2, 4), all.subList(2, 6), all.subList(0, 6), all.subList(4, 6), all);
        for (List<Member> fleet : fleets) {
            placed = aligned(policy.place(input(fleet, placed)));
            placed = aligned(policy.place(input(fleet, placed)));
            Map<MemberId, Integer> rows = rows(placed);
            assertThat(rows.values()).allSatisfy(n -> assertThat(n).isLessThanOrEqualTo(MAX_RANGES_PER_SERVER));
        }
    }

    private static List<PlacedRange> aligned(List<PlacedRange> placed) {
        return RangeAlignment.align(placed, KEY_BITS);
    }

    /** Neighbours of one owner are one row. */
    private static Map<MemberId, Integer> rows(List<PlacedRange> placed) {
        Map<MemberId, Integer> rows = new HashMap<>();
        MemberId last = null;
        for (PlacedRange p : placed) {
            if (!p.owner().equals(last)) {
                rows.merge(p.owner(), 1, Integer::sum);
            }
            last = p.owner();
        }
        return rows;
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

    /** Requests of ticket lookups on the users' scale days: 217 a second of 160 ms and two calls of other services. */
    private static final double REQUESTS_PER_SECOND = 217;

    private static final double WORK_MS = 160;
    private static final double CALLS_MS = 60;
    private static final int SLOTS = 18;

    private static Map<MemberId, Double> times(List<Member> members, List<Double> speeds) {
        Map<MemberId, Double> times = new HashMap<>();
        for (int i = 0; i < members.size(); i++) {
            times.put(members.get(i).id(), WORK_MS / speeds.get(i) + CALLS_MS);
        }
        return times;
    }

    private static Map<MemberId, List<RangeLoad>> loads(List<Member> members, List<PlacedRange> placed) {
        Map<MemberId, List<RangeLoad>> loads = new HashMap<>();
        for (Member member : members) {
            loads.put(
                    member.id(),
                    placed.stream()
                            .filter(p -> p.owner().equals(member.id()))
                            .map(p -> new RangeLoad(
                                    p.range(),
                                    new Generation(1),
                                    true,
                                    REQUESTS_PER_SECOND * p.range().share(),
                                    List.of()))
                            .toList());
        }
        return loads;
    }

    /** Part of its slots that the busiest server would need. */
    private static double busiest(List<Member> members, List<Double> speeds, List<PlacedRange> placed) {
        Map<MemberId, Double> times = times(members, speeds);
        return shares(placed).entrySet().stream()
                .mapToDouble(e -> e.getValue() * REQUESTS_PER_SECOND * times.get(e.getKey()) / 1_000 / SLOTS)
                .max()
                .orElseThrow();
    }

    private static PlacementInput input(List<Member> members, List<PlacedRange> placed) {
        return input(members, placed, Map.of(), Map.of());
    }

    private static PlacementInput input(
            List<Member> members,
            List<PlacedRange> placed,
            Map<MemberId, List<RangeLoad>> loads,
            Map<MemberId, Double> serviceMs) {
        List<RangeAssignment> assignments = new ArrayList<>();
        placed.forEach(p -> assignments.add(new RangeAssignment(p.range(), p.owner(), new Generation(1), List.of())));
        return new PlacementInput(
                Configuration.EMPTY,
                members,
                new AssignmentTable(SERVICE, new Generation(placed.isEmpty() ? 0 : 1), assignments),
                loads,
                serviceMs,
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
