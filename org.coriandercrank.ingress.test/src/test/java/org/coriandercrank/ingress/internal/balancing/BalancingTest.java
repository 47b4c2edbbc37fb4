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

/** Tests the load balancing policies, the locality filter and outlier detection. */
class BalancingTest {
    private static final long NANOS_PER_MS = 1_000_000;
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
    void registersThePoliciesByName() {
        assertThat(PluginRegistry.load().names(Kind.BALANCING))
                .containsExactly("expected-time", "least-in-flight", "round-robin", "spread", "two-choices");
    }

    @Test
    void choosesByLoadPerWeight() {
        List<BalancingCandidate> candidates =
                List.of(candidate("a", 3, true, true, 100), candidate("b", 5, true, true, 200));

        assertThat(new LeastInFlightPolicy().choose(candidates, new Random(1))).isEqualTo(1);
        assertThat(new TwoChoicesPolicy().choose(candidates, new Random(1))).isEqualTo(1);
    }

    /** Guards against a policy that always chooses the same one of several equal servers. */
    @Test
    void spreadsRequestsOverEqualServers() {
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

    /**
     * Loads of three servers and the servers that must remain.
     *
     * @param sameDomainLoad requests in flight to the server in the failure domain of this daemon
     */
    record LocalityCase(
            Locality locality, int sameDomainLoad, int sameRegionLoad, int otherRegionLoad, Set<String> expected) {}

    static Stream<LocalityCase> localityCases() {
        return Stream.of(
                new LocalityCase(Locality.DOMAIN_FIRST, 0, 0, 0, Set.of("own")),
                new LocalityCase(Locality.DOMAIN_FIRST, 4, 0, 0, Set.of("own")),
                new LocalityCase(Locality.DOMAIN_FIRST, 5, 0, 0, Set.of("own", "region")),
                new LocalityCase(Locality.DOMAIN_FIRST, 13, 5, 0, Set.of("own")),
                new LocalityCase(Locality.DOMAIN_FIRST, 15, 5, 5, Set.of("own", "region")),
                new LocalityCase(Locality.DOMAIN_FIRST, 40, 13, 0, Set.of("own", "region", "remote")),
                new LocalityCase(Locality.REGION_FIRST, 0, 5, 0, Set.of("own", "region")),
                new LocalityCase(Locality.REGION_FIRST, 40, 13, 0, Set.of("own", "region", "remote")),
                new LocalityCase(Locality.ANY, 0, 5, 5, Set.of("own", "region", "remote")));
    }

    @ParameterizedTest
    @MethodSource("localityCases")
    void prefersNearServersUntilTheyAreClearlyBusier(LocalityCase localityCase) {
        List<BalancingCandidate> chosen = LocalityFilter.apply(
                List.of(
                        candidate("own", localityCase.sameDomainLoad, true, true, 100),
                        candidate("region", localityCase.sameRegionLoad, false, true, 100),
                        candidate("remote", localityCase.otherRegionLoad, false, false, 100)),
                localityCase.locality);

        assertThat(chosen.stream().map(c -> c.member().id().value()).collect(Collectors.toSet()))
                .isEqualTo(localityCase.expected);
    }

    @Test
    void excludesAFailingServerAndReadmitsItAfterSuccessfulProbes() {
        OutlierDetector detector = new OutlierDetector(OutlierDetectionOptions.DEFAULTS);
        MemberId failing = new MemberId("a");
        detector.setServers(Set.of(failing, new MemberId("b"), new MemberId("c")));
        for (int i = 0; i < 10; i++) {
            detector.recordResult(failing, false, 0);
        }
        assertThat(detector.isExcluded(failing)).isTrue();
        assertThat(detector.tryProbe(failing, 249 * NANOS_PER_MS)).isFalse();

        int probes = 0;
        for (long nowMs = 250; detector.isExcluded(failing); nowMs += 10) {
            if (detector.tryProbe(failing, nowMs * NANOS_PER_MS)) {
                detector.recordResult(failing, true, nowMs * NANOS_PER_MS);
                probes++;
            }
        }
        assertThat(probes).isBetween(10, 40);
    }

    /** Guards against excluding all servers of a service if all fail together, for example after a faulty release. */
    @Test
    void neverExcludesMoreThanTheAllowedShare() {
        OutlierDetector detector = new OutlierDetector(OutlierDetectionOptions.DEFAULTS);
        Set<MemberId> servers =
                Stream.of("a", "b", "c", "d", "e", "f").map(MemberId::new).collect(Collectors.toSet());
        detector.setServers(servers);
        for (int i = 0; i < 100; i++) {
            servers.forEach(server -> detector.recordResult(server, false, 0));
        }
        assertThat(detector.excludedCount()).isEqualTo(2);

        detector.setServers(Set.of(new MemberId("a"), new MemberId("b")));
        assertThat(detector.excludedCount()).isZero();
    }
}
