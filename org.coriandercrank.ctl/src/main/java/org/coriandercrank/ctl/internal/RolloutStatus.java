package org.coriandercrank.ctl.internal;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.ctl.internal.ClusterReader.MemberStatus;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * Progress of the rollout of a configuration revision to the daemons of all members that are not sealed. Immutable.
 *
 * @param inForce number of daemons on which the revision or a newer one is in force
 * @param live number of members that are not sealed
 * @param missing members whose daemons use an older revision
 * @param unreachable members whose daemons did not answer
 */
public record RolloutStatus(
        Revision revision, int inForce, int live, List<MemberId> missing, List<MemberId> unreachable) {
    public RolloutStatus {
        missing = List.copyOf(missing);
        unreachable = List.copyOf(unreachable);
    }

    static RolloutStatus of(Revision revision, List<MemberStatus> memberStatuses) {
        List<MemberId> missing = new ArrayList<>();
        List<MemberId> unreachable = new ArrayList<>();
        for (MemberStatus memberStatus : memberStatuses) {
            if (memberStatus.status().isEmpty()) {
                unreachable.add(memberStatus.member().id());
            } else if (revision.isNewerThan(memberStatus.status().get().configurationRevision())) {
                missing.add(memberStatus.member().id());
            }
        }
        int inForce = memberStatuses.size() - missing.size() - unreachable.size();
        return new RolloutStatus(revision, inForce, memberStatuses.size(), missing, unreachable);
    }

    boolean reachesAllDaemons() {
        return missing.isEmpty() && unreachable.isEmpty();
    }

    String summaryLine() {
        return "revision " + revision + " in force on " + inForce + " of " + live + " daemons"
                + (missing.isEmpty() ? "" : ", missing " + missing)
                + (unreachable.isEmpty() ? "" : ", unreachable " + unreachable);
    }
}
