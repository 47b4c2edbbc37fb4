package org.coriandercrank.ctl.internal;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.ctl.internal.ClusterReader.MemberStatus;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * On how many live daemons a configuration revision is in force. Immutable.
 *
 * @param missing live members that follow an older revision
 * @param unreachable members that are not sealed and did not answer
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
