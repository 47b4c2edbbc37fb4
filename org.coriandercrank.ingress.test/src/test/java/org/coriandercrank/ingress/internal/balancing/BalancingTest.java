package org.coriandercrank.ingress.internal.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coriandercrank.ingress.OutlierDetectionOptions;
import org.coriandercrank.kernel.config.Locality;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.plugin.PluginRegistry.Kind;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class BalancingTest {
    private static final long MS = 1_000_000;
    private static final HostAddress ADDRESS = new HostAddress("127.0.0.1", 0);

    private static BalancingCandidate candidate(
            String id, int inFlight, boolean sameDomain, boolean sameRegion, int weightPercent) {
        Member member = new Member(
                new MemberId(id),
                ADDRESS,
                ADDRESS,
                ADDRESS,
                new Region("r"),
                new FailureDomain("d"),
                MemberState.ACTIVE,
                Optional.empty(),
                List.of());
        return new BalancingCandidate(member, inFlight, sameDomain, sameRegion, weightPercent, 0);
    }

    @Test
    void offersThePoliciesByName() {
        assertThat(PluginRegistry.load().names(Kind.BALANCING))
                .containsExactly("expected-time", "least-in-flight", "round-robin", "two-choices");
    }

    @Test
    void choosesByLoadPerWeight() {
        List<BalancingCandidate> candidates =
                List.of(candidate("a", 3, true, true, 100), candidate("b", 5, true, true, 200));

        assertThat(new LeastInFlightPolicy().choose(candidates, new Random(1))).isEqualTo(1);
        assertThat(new TwoChoicesPolicy().choose(candidates, new Random(1))).isEqualTo(1);
    }

    /** Guards against a policy that always sends to one of several equal servers. */
    @Test
    void spreadsOverEqualServers() {
        List<BalancingCandidate> equal = Stream.of("a", "b", "c", "d")
                .map(id -> candidate(id, 0, true, true, 100))
                .toList();
        Random random = new Random(7);
        for (var policy : List.of(new TwoChoicesPolicy(), new LeastInFlightPolicy(), new RoundRobinPolicy())) {
            int[] chosen = new int[equal.size()];
            for (int i = 0; i < 4_000; i++) {
                chosen[policy.choose(equal, random)]++;
            }
            assertThat(chosen)
                    .satisfies(counts -> assertThat(java.util.Arrays.stream(counts))
                            .allMatch(count -> count > 800 && count < 1_200));
        }
    }

    record Spill(Locality locality, int own, int region, int remote, Set<String> expected) {}

    static Stream<Spill> spills() {
        return Stream.of(
                new Spill(Locality.DOMAIN_FIRST, 0, 0, 0, Set.of("own")),
                new Spill(Locality.DOMAIN_FIRST, 4, 0, 0, Set.of("own")),
                new Spill(Locality.DOMAIN_FIRST, 5, 0, 0, Set.of("own", "region")),
                new Spill(Locality.DOMAIN_FIRST, 13, 5, 0, Set.of("own")),
                new Spill(Locality.DOMAIN_FIRST, 15, 5, 5, Set.of("own", "region")),
                new Spill(Locality.DOMAIN_FIRST, 40, 13, 0, Set.of("own", "region", "remote")),
                new Spill(Locality.REGION_FIRST, 0, 5, 0, Set.of("own", "region")),
                new Spill(Locality.REGION_FIRST, 40, 13, 0, Set.of("own", "region", "remote")),
                new Spill(Locality.ANY, 0, 5, 5, Set.of("own", "region", "remote")));
    }

    @ParameterizedTest
    @MethodSource("spills")
    void prefersNearServersUntilTheyAreClearlyBusier(Spill spill) {
        List<BalancingCandidate> chosen = LocalityFilter.apply(
                List.of(
                        candidate("own", spill.own, true, true, 100),
                        candidate("region", spill.region, false, true, 100),
                        candidate("remote", spill.remote, false, false, 100)),
                spill.locality);

        assertThat(chosen.stream().map(c -> c.member().id().value()).collect(Collectors.toSet()))
                .isEqualTo(spill.expected);
    }

    @Test
    void excludesABadServerAndReadmitsItAfterGoodProbes() {
        HealthTracker tracker = new HealthTracker(OutlierDetectionOptions.DEFAULTS);
        MemberId bad = new MemberId("a");
        tracker.retain(Set.of(bad, new MemberId("b"), new MemberId("c")));
        for (int i = 0; i < 10; i++) {
            tracker.record(bad, false, 0);
        }
        assertThat(tracker.isExcluded(bad)).isTrue();
        assertThat(tracker.tryProbe(bad, 249 * MS)).isFalse();

        int probes = 0;
        for (long nowMs = 250; tracker.isExcluded(bad); nowMs += 10) {
            if (tracker.tryProbe(bad, nowMs * MS)) {
                tracker.record(bad, true, nowMs * MS);
                probes++;
            }
        }
        assertThat(probes).isBetween(10, 40);
    }

    /** Guards against a common fault, such as a bad release, that excludes all servers of a service. */
    @Test
    void neverExcludesMoreThanTheAllowedShare() {
        HealthTracker tracker = new HealthTracker(OutlierDetectionOptions.DEFAULTS);
        Set<MemberId> servers =
                Stream.of("a", "b", "c", "d", "e", "f").map(MemberId::new).collect(Collectors.toSet());
        tracker.retain(servers);
        for (int i = 0; i < 100; i++) {
            servers.forEach(server -> tracker.record(server, false, 0));
        }
        assertThat(tracker.excludedCount()).isEqualTo(2);

        tracker.retain(Set.of(new MemberId("a"), new MemberId("b")));
        assertThat(tracker.excludedCount()).isZero();
    }
}
