package org.coriandercrank.ingress.internal.balancing;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.coriandercrank.ingress.OutlierDetectionOptions;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.ConfinedRequests;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.BalancingPolicy;
import org.coriandercrank.kernel.placement.ReportedLoad;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.scheduling.region.ReservedCapacity;
import org.coriandercrank.scheduling.region.ReservedCapacity.Penalties;

/**
 * Chooses a member for each request to an unkeyed service. Not thread safe; confined to the ingress executor.
 *
 * <p>A member is eligible if it is active, its failure domain is not evacuated, and its backend server belongs to the
 * service, is not draining and has a positive weight. A server that outlier detection excluded receives only probes
 * while other servers are available. Only repeatable requests are used as probes, because a probe is likely to fail.
 */
public final class Balancer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Region region;
    private final FailureDomain failureDomain;
    private final OutlierDetectionOptions outlierOptions;
    private final RandomGenerator random;
    private final Map<MemberId, Integer> inFlight = new HashMap<>();
    private final LoadEstimator loadEstimator = new LoadEstimator();
    private final Map<ServiceName, ServiceState> services = new HashMap<>();
    private int daemonsInRegion;
    private long reservedPlacements;

    /** A member that can receive requests, with the weight of its backend server. */
    private record EligibleServer(Member member, int weightPercent) {}

    /** Eligible members of a service in one snapshot, and the outlier detection of its servers. */
    private static final class ServiceState {
        private final ServiceName service;
        private final OutlierDetector outlierDetector;
        private RoutingSnapshot snapshot;
        private List<EligibleServer> eligible = List.of();
        private ReservedCapacity reservedCapacity = new ReservedCapacity(Set.of());

        private ServiceState(ServiceName service, OutlierDetector outlierDetector) {
            this.service = service;
            this.outlierDetector = outlierDetector;
        }
    }

    public Balancer(
            Region region,
            FailureDomain failureDomain,
            OutlierDetectionOptions outlierOptions,
            RandomGenerator random) {
        this.region = region;
        this.failureDomain = failureDomain;
        this.outlierOptions = outlierOptions;
        this.random = random;
    }

    /**
     * Chooses the member to which a request is sent; empty if none is eligible except those tried before.
     *
     * @param tried members to which the request was sent before
     * @param rules rules of the request, which may allow only servers of some regions
     * @param repeatable whether the request can be used as a probe
     */
    public Optional<Member> choose(
            RoutingSnapshot snapshot,
            ServiceConfig service,
            BalancingPolicy policy,
            Set<MemberId> tried,
            Optional<RequestRules> rules,
            boolean repeatable,
            long nowNanos) {
        ServiceState state = serviceState(snapshot, service.name());
        Penalties penalties = penalties(state, rules, nowNanos);
        List<BalancingCandidate> healthy = new ArrayList<>();
        List<BalancingCandidate> excluded = new ArrayList<>();
        for (EligibleServer eligible : state.eligible) {
            MemberId id = eligible.member().id();
            if (!isAllowed(eligible.member(), snapshot, rules) || tried.contains(id)) {
                continue;
            }
            if (!state.outlierDetector.isExcluded(id)) {
                healthy.add(candidate(eligible, penalties, nowNanos));
            } else if (repeatable && state.outlierDetector.tryProbe(id, nowNanos)) {
                return Optional.of(eligible.member());
            } else {
                excluded.add(candidate(eligible, penalties, nowNanos));
            }
        }
        List<BalancingCandidate> candidates =
                LocalityFilter.apply(healthy.isEmpty() ? excluded : healthy, service.locality());
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        BalancingCandidate chosen = candidates.get(policy.choose(candidates, random));
        if (penalties.placedOutside() && chosen.penaltyMs() == 0) {
            reservedPlacements++;
        }
        return Optional.of(chosen.member());
    }

    /** Penalties by region for the next request, if it is not bound to regions itself. */
    private Penalties penalties(ServiceState state, Optional<RequestRules> rules, long nowNanos) {
        ReservedCapacity reserved = state.reservedCapacity;
        boolean bound = rules.map(r -> !r.allowedRegions().isEmpty()).orElse(false);
        if (bound || reserved.boundRegions().isEmpty()) {
            return Penalties.NONE;
        }
        if (reserved.isUpdateDue(nowNanos)) {
            boolean wasActive = reserved.largestShare() > 0;
            reserved.update(serverLoads(state, nowNanos), nowNanos);
            boolean active = reserved.largestShare() > 0;
            if (active != wasActive) {
                logReservation(state, active);
            }
        }
        return reserved.takePenalties(region);
    }

    private List<ReservedCapacity.ServerLoad> serverLoads(ServiceState state, long nowNanos) {
        List<ReservedCapacity.ServerLoad> loads = new ArrayList<>();
        for (EligibleServer eligible : state.eligible) {
            MemberId id = eligible.member().id();
            loads.add(new ReservedCapacity.ServerLoad(
                    eligible.member().region(),
                    loadEstimator.latestLoad(id).orElse(GateLoad.NONE),
                    loadEstimator.ageNanos(id, nowNanos)));
        }
        return loads;
    }

    private static void logReservation(ServiceState state, boolean active) {
        logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "event=reserved-capacity service=%s active=%s utilization=%s",
                state.service, active, state.reservedCapacity.utilization());
    }

    /**
     * Returns the member to which a confined request is sent, whatever its load; empty if it was tried before or is in a
     * region where the request is not allowed, because the request must not be sent to another.
     */
    public Optional<Member> chooseConfined(
            RoutingSnapshot snapshot,
            ServiceConfig service,
            RequestFingerprint request,
            Set<MemberId> tried,
            Optional<RequestRules> rules) {
        List<Member> members = serviceState(snapshot, service.name()).eligible.stream()
                .map(EligibleServer::member)
                .toList();
        return ConfinedRequests.server(request, members)
                .filter(member -> !tried.contains(member.id()) && isAllowed(member, snapshot, rules));
    }

    /** The record of this daemon may be older than its settings, so its region is that of the settings. */
    private boolean isAllowed(Member member, RoutingSnapshot snapshot, Optional<RequestRules> rules) {
        Region serverRegion = member.id().equals(snapshot.self()) ? region : member.region();
        return rules.map(r -> r.allows(serverRegion)).orElse(true);
    }

    /** Counts a request as in flight to a member. */
    public void recordSend(MemberId member, long nowNanos) {
        inFlight.merge(member, 1, Integer::sum);
        loadEstimator.recordSend(member, daemonsInRegion, nowNanos);
    }

    /** Counts a request as no longer in flight to a member. */
    public void recordFinish(MemberId member) {
        inFlight.computeIfPresent(member, (id, count) -> count > 1 ? count - 1 : null);
    }

    /** Records the load that the gate of a server reported. */
    public void recordLoad(MemberId member, GateLoad load, long nowNanos) {
        loadEstimator.recordReport(member, load, inFlight.getOrDefault(member, 0), nowNanos);
    }

    /** Age in milliseconds of the latest load report of a server; empty without one. */
    public OptionalLong reportAgeMs(MemberId member, long nowNanos) {
        ReportedLoad report = loadEstimator.reportedLoad(member, nowNanos);
        return report.isPresent() ? OptionalLong.of((long) report.ageMs()) : OptionalLong.empty();
    }

    /** Records for outlier detection whether a server handled a request well. */
    public void recordResult(ServiceName service, MemberId member, boolean success, long nowNanos) {
        ServiceState state = services.get(service);
        if (state != null) {
            state.outlierDetector.recordResult(member, success, nowNanos);
        }
    }

    /** Number of excluded servers of all services. */
    public int excludedCount() {
        return services.values().stream()
                .mapToInt(state -> state.outlierDetector.excludedCount())
                .sum();
    }

    /** Number of requests that were placed outside a region because its capacity is kept for requests bound to it. */
    public long reservedPlacements() {
        return reservedPlacements;
    }

    private BalancingCandidate candidate(EligibleServer eligible, Penalties penalties, long nowNanos) {
        Member member = eligible.member();
        int ownInFlight = inFlight.getOrDefault(member.id(), 0);
        return new BalancingCandidate(
                member,
                ownInFlight,
                member.failureDomain().equals(failureDomain),
                member.region().equals(region),
                eligible.weightPercent(),
                loadEstimator.expectedMs(member.id(), ownInFlight, nowNanos),
                penalties.byRegionMs().getOrDefault(member.region(), 0.0),
                loadEstimator.reportedLoad(member.id(), nowNanos));
    }

    /**
     * The state of a service, updated to the given snapshot. Compares snapshots by identity, because comparing their
     * content costs more than building a new list.
     */
    @SuppressWarnings("ReferenceEquality")
    private ServiceState serviceState(RoutingSnapshot snapshot, ServiceName service) {
        ServiceState state =
                services.computeIfAbsent(service, name -> new ServiceState(name, new OutlierDetector(outlierOptions)));
        if (state.snapshot != snapshot) {
            state.snapshot = snapshot;
            loadEstimator.retainMembers(snapshot.members().keySet());
            daemonsInRegion = countDaemonsInRegion(snapshot);
            state.eligible = findEligible(snapshot, service);
            Set<Region> boundRegions = ReservedCapacity.boundRegions(snapshot.configuration(), service);
            if (!boundRegions.equals(state.reservedCapacity.boundRegions())) {
                state.reservedCapacity = new ReservedCapacity(boundRegions);
            }
            state.outlierDetector.setServers(
                    state.eligible.stream().map(e -> e.member().id()).collect(Collectors.toSet()));
        }
        return state;
    }

    private int countDaemonsInRegion(RoutingSnapshot snapshot) {
        return (int) snapshot.members().values().stream()
                .map(VersionedMember::member)
                .filter(member ->
                        member.state() == MemberState.ACTIVE && member.region().equals(region))
                .count();
    }

    private static List<EligibleServer> findEligible(RoutingSnapshot snapshot, ServiceName service) {
        List<EligibleServer> result = new ArrayList<>();
        for (VersionedMember versionedMember : snapshot.members().values()) {
            Member member = versionedMember.member();
            Optional<BackendInfo> backend =
                    member.backend().filter(b -> b.service().equals(service));
            if (member.state() != MemberState.ACTIVE || backend.isEmpty() || snapshot.isEvacuated(member)) {
                continue;
            }
            String name = backend.get().name();
            int weightPercent = snapshot.configuration().weightPercent(name);
            if (weightPercent > 0 && !snapshot.configuration().isDraining(name)) {
                result.add(new EligibleServer(member, weightPercent));
            }
        }
        result.sort(Comparator.comparing(e -> e.member().id()));
        return result;
    }
}
