package org.coriandercrank.control.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Asks other members for a configuration that the store has lost by returning from an older copy. This daemon may not
 * have known it, for example because it was started after the return.
 *
 * <p>The search begins with the first listing of an era. A member that was started itself meanwhile may not know the
 * configuration either, so different ones are asked in several rounds. They are asked for changes after the end of the
 * era, so an answer has no objects unless one was lost. Control thread only.
 */
final class LostConfigurationSearch {
    private static final int MEMBERS_PER_ROUND = 2;
    private static final int ROUNDS = 12;
    private static final long FIRST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long MAX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final long TIMEOUT_MS = 1_000;

    private final ControlContext context;
    private final ClusterView view;
    private final Set<MemberId> askedMembers = new HashSet<>();
    private Era era = Era.NONE;
    private int rounds = ROUNDS;
    private long nextRoundNanos;

    LostConfigurationSearch(ControlContext context, ClusterView view) {
        this.context = context;
        this.view = view;
    }

    /** Starts a round that is due. */
    void tick(long nowNanos) {
        Era listedEra = view.completeUpTo(FetchObject.Kind.CONFIGURATION).era();
        if (listedEra.isNewerThan(era)) {
            era = listedEra;
            rounds = 0;
            nextRoundNanos = nowNanos;
            askedMembers.clear();
        }
        if (rounds < ROUNDS && nowNanos - nextRoundNanos >= 0) {
            List<Member> candidates = candidates();
            if (!candidates.isEmpty()) {
                candidates.stream().limit(MEMBERS_PER_ROUND).forEach(this::ask);
                nextRoundNanos = nowNanos + Math.min(FIRST_INTERVAL_NANOS << rounds, MAX_INTERVAL_NANOS);
                rounds++;
            } else {
                askedMembers.clear();
            }
        }
    }

    private List<Member> candidates() {
        MemberId self = view.current().self();
        List<Member> candidates = new ArrayList<>();
        view.current().members().values().stream()
                .map(VersionedMember::member)
                .filter(member -> member.state() != MemberState.SEALED
                        && !member.id().equals(self)
                        && !askedMembers.contains(member.id()))
                .forEach(candidates::add);
        Collections.shuffle(candidates, context.random());
        return candidates;
    }

    private void ask(Member member) {
        askedMembers.add(member.id());
        Era askedIn = era;
        FetchObject request = new FetchObject(FetchObject.Kind.CONFIGURATION, Revision.lastOf(era));
        context.callWithTimeout(
                () -> context.dependencies()
                        .peerClient()
                        .call(PeerTarget.of(member), request, ObjectData.class, TIMEOUT_MS),
                TIMEOUT_MS,
                (data, failure) -> {
                    if (failure != null) {
                        askAnother(askedIn);
                    } else if (data.kind() == FetchObject.Kind.CONFIGURATION) {
                        answered(askedIn, data);
                    }
                });
    }

    /** A member that was lost together with others must not use up a round. */
    private void askAnother(Era askedIn) {
        if (askedIn.equals(era) && rounds < ROUNDS) {
            candidates().stream().limit(1).forEach(this::ask);
        }
    }

    /** A configuration of an earlier era comes from a member that knows what was in force, so nobody else is asked. */
    private void answered(Era askedIn, ObjectData data) {
        for (StoredObject object : data.objects()) {
            if (askedIn.equals(era) && era.isNewerThan(object.revision().era())) {
                rounds = ROUNDS;
            }
            view.offerEarlierConfiguration(object);
        }
    }
}
