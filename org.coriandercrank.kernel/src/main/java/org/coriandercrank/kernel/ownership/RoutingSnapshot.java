package org.coriandercrank.kernel.ownership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * The control objects that a daemon knows at one moment. Immutable.
 *
 * @param self member id of this daemon
 * @param configurationRevision {@link Revision#NONE} until a configuration has been read
 * @param tables assignment tables by service
 * @param members member records by id
 * @param evacuatedDomains failure domains whose servers receive no requests and own no ranges, by decision of the operator
 */
public record RoutingSnapshot(
        MemberId self,
        Revision configurationRevision,
        Configuration configuration,
        Map<ServiceName, AssignmentTable> tables,
        Map<MemberId, VersionedMember> members,
        Set<FailureDomain> evacuatedDomains) {
    public RoutingSnapshot {
        tables = ImmutableMap.copyOf(tables);
        members = ImmutableMap.copyOf(members);
        evacuatedDomains = ImmutableSet.copyOf(evacuatedDomains);
    }

    /** Creates a snapshot without evacuated failure domains. */
    public RoutingSnapshot(
            MemberId self,
            Revision configurationRevision,
            Configuration configuration,
            Map<ServiceName, AssignmentTable> tables,
            Map<MemberId, VersionedMember> members) {
        this(self, configurationRevision, configuration, tables, members, Set.of());
    }

    public static RoutingSnapshot empty(MemberId self) {
        return new RoutingSnapshot(self, Revision.NONE, Configuration.EMPTY, Map.of(), Map.of());
    }

    public Optional<AssignmentTable> table(ServiceName service) {
        return Optional.ofNullable(tables.get(service));
    }

    /** Whether a member is in a failure domain that the operator evacuates. */
    public boolean isEvacuated(Member member) {
        return evacuatedDomains.contains(member.failureDomain());
    }

    /** Whether a service has active members and the operator evacuates the failure domains of all of them. */
    public boolean isEvacuated(ServiceName service) {
        if (evacuatedDomains.isEmpty()) {
            return false;
        }
        List<Member> serving = members.values().stream()
                .map(VersionedMember::member)
                .filter(member -> member.state() == MemberState.ACTIVE)
                .filter(member -> member.backend()
                        .filter(backend -> backend.service().equals(service))
                        .isPresent())
                .toList();
        return !serving.isEmpty() && serving.stream().allMatch(this::isEvacuated);
    }

    public Optional<Member> member(MemberId id) {
        return Optional.ofNullable(members.get(id)).map(VersionedMember::member);
    }
}
