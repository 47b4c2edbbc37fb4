package org.coriandercrank.ctl.internal;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.ctl.internal.Fleet.LiveMember;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * On how many live daemons a configuration revision is in force. Immutable.
 *
 * @param missing live members that follow an older revision
 * @param unreachable members that are not sealed and did not answer
 */
public record InForce(Revision revision, int inForce, int live, List<MemberId> missing, List<MemberId> unreachable) {
    public InForce {
        missing = List.copyOf(missing);
        unreachable = List.copyOf(unreachable);
    }

    static InForce of(Revision revision, List<LiveMember> members) {
        List<MemberId> missing = new ArrayList<>();
        List<MemberId> unreachable = new ArrayList<>();
        for (LiveMember live : members) {
            if (live.status().isEmpty()) {
                unreachable.add(live.member().id());
            } else if (revision.isNewerThan(live.status().get().configurationRevision())) {
                missing.add(live.member().id());
            }
        }
        int inForce = members.size() - missing.size() - unreachable.size();
        return new InForce(revision, inForce, members.size(), missing, unreachable);
    }

    boolean everywhere() {
        return missing.isEmpty() && unreachable.isEmpty();
    }

    String line() {
        return "revision " + revision + " in force on " + inForce + " of " + live + " daemons"
                + (missing.isEmpty() ? "" : ", missing " + missing)
                + (unreachable.isEmpty() ? "" : ", unreachable " + unreachable);
    }
}
