package org.coriandercrank.kernel.ownership;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;

/**
 * The control objects that a daemon knows at one moment. Immutable.
 *
 * @param self member id of this daemon
 * @param configurationRevision {@link Revision#NONE} until a configuration has been read
 * @param tables assignment tables by service
 * @param members member records by id
 */
public record RoutingSnapshot(
        MemberId self,
        Revision configurationRevision,
        Configuration configuration,
        Map<ServiceName, AssignmentTable> tables,
        Map<MemberId, VersionedMember> members) {
    public RoutingSnapshot {
        tables = ImmutableMap.copyOf(tables);
        members = ImmutableMap.copyOf(members);
    }

    public static RoutingSnapshot empty(MemberId self) {
        return new RoutingSnapshot(self, Revision.NONE, Configuration.EMPTY, Map.of(), Map.of());
    }

    public Optional<AssignmentTable> table(ServiceName service) {
        return Optional.ofNullable(tables.get(service));
    }

    public Optional<Member> member(MemberId id) {
        return Optional.ofNullable(members.get(id)).map(VersionedMember::member);
    }
}
