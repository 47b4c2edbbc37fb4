package org.coriandercrank.kernel.status;

import com.google.common.collect.ImmutableMap;
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
 * Response of the status endpoint of a daemon. Immutable.
 *
 * @param configurationRevision revision of the configuration that the daemon uses
 * @param tables generation of the assignment table that the daemon uses, by service
 * @param leaseRemainingMs time in milliseconds until the lease expires; negative if the lease is not valid
 * @param planner whether the daemon is the planner, which writes the assignment tables
 * @param relay whether the daemon is the relay of its region, which watches the store and passes changes on
 * @param backendName name of the attached backend server
 * @param queued number of requests in the queue of the owner gate
 * @param inFlight number of requests sent to the backend server and not answered yet
 * @param serving ranges that the owner gate serves
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
        tables = ImmutableMap.copyOf(tables);
        serving = List.copyOf(serving);
    }
}
