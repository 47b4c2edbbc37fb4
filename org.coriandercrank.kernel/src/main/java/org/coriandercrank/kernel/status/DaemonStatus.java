package org.coriandercrank.kernel.status;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.GateStatus.ServingRange;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Answer of a daemon's status endpoint. Immutable.
 *
 * @param configurationRevision revision of the configuration in force at the daemon
 * @param tables generation of each service's table that the daemon follows
 * @param leaseRemainingMs negative if the lease does not hold
 */
public record DaemonStatus(
        MemberId member,
        Region region,
        FailureDomain failureDomain,
        MemberState state,
        Revision configurationRevision,
        Map<ServiceName, Generation> tables,
        long leaseRemainingMs,
        boolean planner,
        boolean relay,
        Optional<String> backendName,
        int queued,
        int inFlight,
        List<ServingRange> serving) {
    public DaemonStatus {
        tables = Map.copyOf(tables);
        serving = List.copyOf(serving);
    }
}
