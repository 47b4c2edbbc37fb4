package org.coriandercrank.control.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Seals the member records of earlier processes with the peer address of this daemon, after this daemon has joined.
 *
 * <p>The address is used by one process at a time, so the earlier processes have ended, and so have the grants of a
 * backend server that was replaced. Without the seals, their ranges would stay unavailable until witnesses detect the
 * missing heartbeats. Control thread only.
 */
final class PredecessorSealer {
    private final ControlContext context;
    private final ClusterView view;
    /** Members whose seal is in flight, succeeded or waits for a retry. */
    private final Set<MemberId> sealRequested = new HashSet<>();

    private Era checkedEra = Era.NONE;
    private long checkedSnapshotVersion = -1;
    private List<VersionedMember> predecessors = List.of();

    PredecessorSealer(ControlContext context, ClusterView view) {
        this.context = context;
        this.view = view;
    }

    /** Starts the seals that are due. Only a new snapshot changes the set of predecessors. */
    void tick(MemberId self) {
        if (!context.eras().era().equals(checkedEra)) {
            // The store may have lost the seals of the earlier era.
            checkedEra = context.eras().era();
            sealRequested.clear();
        }
        if (view.snapshotVersion() != checkedSnapshotVersion) {
            checkedSnapshotVersion = view.snapshotVersion();
            predecessors = view.current().members().values().stream()
                    .filter(predecessor -> !predecessor.member().id().equals(self))
                    .filter(predecessor -> predecessor.member().state() != MemberState.SEALED)
                    .filter(predecessor -> predecessor
                            .member()
                            .peerAddress()
                            .equals(context.identity().peerAddress()))
                    .toList();
        }
        for (VersionedMember predecessor : predecessors) {
            if (sealRequested.add(predecessor.member().id())) {
                seal(predecessor);
            }
        }
    }

    private void seal(VersionedMember predecessor) {
        MemberId member = predecessor.member().id();
        VersionedMember sealed =
                new VersionedMember(predecessor.member().withState(MemberState.SEALED), predecessor.revision());
        context.callWithTimeout(
                () -> context.dependencies()
                        .store()
                        .put(ObjectNames.member(member), JsonCodec.encode(sealed.member()), sealed.revision()),
                context.options().storeTimeoutMs(),
                (revision, failure) -> {
                    context.log(() -> "event=predecessor-seal member=" + member + " revision=" + predecessor.revision()
                            + " result=" + (failure == null ? "sealed" : failure.code()));
                    if (failure == null) {
                        view.applyMember(new VersionedMember(sealed.member(), revision));
                    } else {
                        retryLater(member);
                    }
                });
    }

    private void retryLater(MemberId member) {
        long delayMs = context.jitteredMs(context.options().storeTimeoutMs());
        context.dependencies().timers().once(delayMs, context.executor(), () -> sealRequested.remove(member));
    }
}
