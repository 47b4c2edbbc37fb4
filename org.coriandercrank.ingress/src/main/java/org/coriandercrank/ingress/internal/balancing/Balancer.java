package org.coriandercrank.ingress.internal.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.coriandercrank.ingress.OutlierDetectionOptions;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.BalancingPolicy;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Chooses the member for a request of a service not divided by key. Not thread safe; confined to the ingress duty.
 *
 * <p>Candidates are the active members of the service whose backend server is not draining and has weight. Excluded
 * servers get only probes, and only with repeatable requests, because a probe is likely to fail.
 */
public final class Balancer {
    private final Region region;
    private final FailureDomain failureDomain;
    private final OutlierDetectionOptions healthRules;
    private final RandomGenerator random;
    private final Map<MemberId, Integer> inFlight = new HashMap<>();
    private final LoadBoard loads = new LoadBoard();
    private final Map<ServiceName, ServiceState> services = new HashMap<>();

    /** A server that may get requests, with its weight. */
    private record Eligible(Member member, int weightPercent) {}

    /** Candidates of a service as of one snapshot, and the health of its servers. */
    private static final class ServiceState {
        private final HealthTracker health;
        private RoutingSnapshot snapshot;
        private List<Eligible> eligible = List.of();

        private ServiceState(HealthTracker health) {
            this.health = health;
        }
    }

    public Balancer(
            Region region, FailureDomain failureDomain, OutlierDetectionOptions healthRules, RandomGenerator random) {
        this.region = region;
        this.failureDomain = failureDomain;
        this.healthRules = healthRules;
        this.random = random;
    }

    /**
     * The member to send to; empty if there is none besides those already tried.
     *
     * @param tried members that the request was sent to before
     */
    public Optional<Member> choose(
            RoutingSnapshot snapshot,
            ServiceConfig service,
            BalancingPolicy policy,
            Set<MemberId> tried,
            boolean repeatable,
            long nowNanos) {
        ServiceState state = state(snapshot, service.name());
        List<BalancingCandidate> healthy = new ArrayList<>();
        List<BalancingCandidate> excluded = new ArrayList<>();
        for (Eligible eligible : state.eligible) {
            MemberId id = eligible.member().id();
            if (tried.contains(id)) {
                continue;
            }
            if (!state.health.isExcluded(id)) {
                healthy.add(candidate(eligible, nowNanos));
            } else if (repeatable && state.health.tryProbe(id, nowNanos)) {
                return Optional.of(eligible.member());
            } else {
                excluded.add(candidate(eligible, nowNanos));
            }
        }
        List<BalancingCandidate> candidates =
                LocalityFilter.apply(healthy.isEmpty() ? excluded : healthy, service.locality());
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(candidates.get(policy.choose(candidates, random)).member());
    }

    public void sent(MemberId member) {
        inFlight.merge(member, 1, Integer::sum);
    }

    public void finished(MemberId member) {
        inFlight.computeIfPresent(member, (id, count) -> count > 1 ? count - 1 : null);
    }

    /** Takes over what the gate of a server told of its load. */
    public void learnLoad(MemberId member, GateLoad load, long nowNanos) {
        loads.learn(member, load, inFlight.getOrDefault(member, 0), nowNanos);
    }

    /** Records whether a server handled a request well. */
    public void result(ServiceName service, MemberId member, boolean success, long nowNanos) {
        ServiceState state = services.get(service);
        if (state != null) {
            state.health.record(member, success, nowNanos);
        }
    }

    /** Excluded servers over all services. */
    public int excludedCount() {
        return services.values().stream()
                .mapToInt(state -> state.health.excludedCount())
                .sum();
    }

    private BalancingCandidate candidate(Eligible eligible, long nowNanos) {
        Member member = eligible.member();
        int own = inFlight.getOrDefault(member.id(), 0);
        return new BalancingCandidate(
                member,
                own,
                member.failureDomain().equals(failureDomain),
                member.region().equals(region),
                eligible.weightPercent(),
                loads.expectedMs(member.id(), own, nowNanos));
    }

    /** Compares snapshots by identity, because a comparison by content costs more than a new list. */
    @SuppressWarnings("ReferenceEquality")
    private ServiceState state(RoutingSnapshot snapshot, ServiceName service) {
        ServiceState state =
                services.computeIfAbsent(service, name -> new ServiceState(new HealthTracker(healthRules)));
        if (state.snapshot != snapshot) {
            state.snapshot = snapshot;
            loads.retain(snapshot.members().keySet());
            state.eligible = eligible(snapshot, service);
            state.health.retain(
                    state.eligible.stream().map(e -> e.member().id()).collect(Collectors.toSet()));
        }
        return state;
    }

    private static List<Eligible> eligible(RoutingSnapshot snapshot, ServiceName service) {
        List<Eligible> result = new ArrayList<>();
        for (VersionedMember known : snapshot.members().values()) {
            Member member = known.member();
            Optional<BackendInfo> backend =
                    member.backend().filter(b -> b.service().equals(service));
            if (member.state() != MemberState.ACTIVE || backend.isEmpty()) {
                continue;
            }
            String name = backend.get().name();
            int weightPercent = snapshot.configuration().weightPercent(name);
            if (weightPercent > 0 && !snapshot.configuration().isDraining(name)) {
                result.add(new Eligible(member, weightPercent));
            }
        }
        result.sort(Comparator.comparing(e -> e.member().id()));
        return result;
    }
}
