package org.coriandercrank.ctl.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coriandercrank.ctl.internal.ClusterReader.CurrentConfiguration;
import org.coriandercrank.ctl.internal.ClusterReader.MemberStatus;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.GateStatus.ServingRange;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.RangeAssignment;

/** The commands that show the state of the cluster. Not thread safe. */
public final class StatusCommands {
    private final CtlSettings settings;
    private final ClusterReader cluster;

    public StatusCommands(CtlSettings settings, ClusterReader cluster) {
        this.settings = settings;
        this.cluster = cluster;
    }

    /** Result of {@link #status}. Immutable. */
    private record Report(RolloutStatus configuration, List<MemberStatus> members) {}

    /** Shows the rollout of the configuration, the services and the daemons. */
    public CtlResult status() {
        CurrentConfiguration current = cluster.currentConfiguration();
        List<MemberStatus> memberStatuses = cluster.memberStatuses();
        RolloutStatus rollout = RolloutStatus.of(current.revision(), memberStatuses);
        List<String> lines = new ArrayList<>();
        lines.add(rollout.summaryLine());
        current.configuration()
                .services()
                .forEach(service -> lines.add("service " + service.name() + " keyed=" + service.keyed() + " placement="
                        + service.placementPolicy()));
        memberStatuses.forEach(member -> lines.add(memberLine(member)));
        return CtlResult.ok(new Report(rollout, memberStatuses), lines);
    }

    /** Shows the stored records of all members. */
    public CtlResult members() {
        List<Member> members = cluster.members();
        List<String> lines = members.stream()
                .map(member -> member.id() + " " + member.state() + " " + member.region() + "/" + member.failureDomain()
                        + " callers="
                        + member.callerAddress() + " backend="
                        + member.backend().map(backend -> backend.name()).orElse("-") + " witnesses="
                        + member.witnesses())
                .toList();
        return CtlResult.ok(members, lines);
    }

    /** Shows the assignment tables of all services or of the service in the settings. */
    public CtlResult owners() {
        List<String> lines = new ArrayList<>();
        List<AssignmentTable> tables = cluster.tables().stream()
                .filter(table ->
                        settings.service().isEmpty() || table.service().value().equals(settings.service()))
                .toList();
        for (AssignmentTable table : tables) {
            lines.add("service " + table.service() + " generation " + table.generation());
            for (RangeAssignment assignment : table.assignments()) {
                lines.add("  " + assignment.range() + " owner=" + assignment.owner() + " fence=" + assignment.fence()
                        + (assignment.previousOwners().isEmpty() ? "" : " previous=" + assignment.previousOwners()));
            }
        }
        return CtlResult.ok(tables, lines);
    }

    /**
     * Shows the owner of a key, the fencing token since which it owns the key, and whether the key can be served now.
     */
    public CtlResult explain() {
        if (settings.service().isEmpty() || settings.key().isEmpty()) {
            return new CtlResult(
                    ResultCode.SETTING_INVALID, Map.of(), List.of("explain requires --service NAME and --key KEY"));
        }
        ServiceName service = new ServiceName(settings.service());
        Key key = new Key(settings.key());
        Optional<RangeAssignment> assignment = cluster.table(service).flatMap(table -> table.find(key.hash()));
        if (assignment.isEmpty()) {
            Explanation explanation =
                    new Explanation(service, key.value(), null, null, null, List.of(), false, "no owner");
            return CtlResult.ok(explanation, List.of("key " + key + " of " + service + " has no owner"));
        }
        Explanation explanation = explain(service, key, assignment.get());
        return CtlResult.ok(
                explanation,
                List.of(
                        "key " + key + " hash " + key.hash() + " range "
                                + assignment.get().range(),
                        "owner " + explanation.owner() + " since fence " + explanation.fence()
                                + (explanation.previousOwners().isEmpty()
                                        ? ""
                                        : ", waits for " + explanation.previousOwners()),
                        (explanation.served() ? "served now" : "not served now") + ": " + explanation.reason()));
    }

    /**
     * Result of {@link #explain}. Immutable. The range, owner and fence are null for a key without owner.
     *
     * @param previousOwners owners that have not released the range yet
     * @param reason why the key is or is not served
     */
    public record Explanation(
            ServiceName service,
            String key,
            KeyRange range,
            MemberId owner,
            Generation fence,
            List<MemberId> previousOwners,
            boolean served,
            String reason) {}

    private Explanation explain(ServiceName service, Key key, RangeAssignment assignment) {
        Optional<DaemonStatus> status = cluster.memberStatuses().stream()
                .filter(memberStatus -> memberStatus.member().id().equals(assignment.owner()))
                .findFirst()
                .flatMap(MemberStatus::status);
        String reason = reasonNotServed(status, key, assignment);
        return new Explanation(
                service,
                key.value(),
                assignment.range(),
                assignment.owner(),
                assignment.fence(),
                assignment.previousOwners(),
                reason.isEmpty(),
                reason.isEmpty() ? "the owner serves the range and its lease is valid" : reason);
    }

    private static String reasonNotServed(Optional<DaemonStatus> status, Key key, RangeAssignment assignment) {
        if (status.isEmpty()) {
            return "the daemon of the owner does not answer";
        }
        if (status.get().leaseRemainingMs() <= 0) {
            return "the lease of the owner is not valid";
        }
        for (ServingRange serving : status.get().serving()) {
            if (serving.range().contains(key.hash()) && serving.fence().equals(assignment.fence())) {
                return "";
            }
        }
        return "the owner does not serve the range yet";
    }

    private static String memberLine(MemberStatus memberStatus) {
        String prefix = memberStatus.member().id() + " " + memberStatus.member().state();
        return memberStatus
                .status()
                .map(daemonStatus -> prefix + " lease=" + daemonStatus.leaseRemainingMs() + "ms configuration="
                        + daemonStatus.configurationRevision()
                        + " ranges=" + daemonStatus.serving().size() + " queued=" + daemonStatus.queued() + " inFlight="
                        + daemonStatus.inFlight()
                        + (daemonStatus.planner() ? " planner" : "") + (daemonStatus.relay() ? " relay" : ""))
                .orElse(prefix + " unreachable");
    }
}
