package org.coriandercrank.control.internal;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Members whose records the store lost when it returned from an older copy. Those that live write them again, so they
 * stay known until the new era has settled. Control thread only.
 */
final class MissingMembers {
    private final Set<MemberId> members = new HashSet<>();

    /**
     * Whether a member that a listing lacks stays known.
     *
     * @param known latest known record of the member; null if there is none
     * @param listedAt revision of the listing
     * @param settled whether the era has settled
     */
    boolean keep(VersionedMember known, Revision listedAt, boolean settled) {
        if (known == null
                || settled
                || !listedAt.era().isNewerThan(known.revision().era())
                || known.member().state() == MemberState.SEALED) {
            return false;
        }
        members.add(known.member().id());
        return true;
    }

    void recordSeen(MemberId member) {
        members.remove(member);
    }

    /** Returns the members that are still missing, and forgets them. */
    Set<MemberId> take() {
        Set<MemberId> missing = ImmutableSet.copyOf(members);
        members.clear();
        return missing;
    }

    boolean isEmpty() {
        return members.isEmpty();
    }

    @Override
    public String toString() {
        return members.toString();
    }
}
