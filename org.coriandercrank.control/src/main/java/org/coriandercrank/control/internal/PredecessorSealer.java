package org.coriandercrank.control.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Seals the records that former processes left at the peer address of this daemon, once the daemon has joined itself.
 *
 * <p>The address has one process at a time, so the former ones have ended, and so have the grants of a backend server
 * that was replaced. Without this their ranges would wait until witnesses find the members silent. Control thread only.
 */
final class PredecessorSealer {
    private final ControlContext context;
    private final ClusterView view;
    private final Set<MemberId> sealRequested = new HashSet<>();
    private long checkedVersion = -1;
    private List<VersionedMember> predecessors = List.of();

    PredecessorSealer(ControlContext context, ClusterView view) {
        this.context = context;
        this.view = view;
    }

    void tick(MemberId self) {
        if (view.snapshotVersion() != checkedVersion) {
            checkedVersion = view.snapshotVersion();
            predecessors = view.current().members().values().stream()
                    .filter(known -> !known.member().id().equals(self))
                    .filter(known -> known.member().state() != MemberState.SEALED)
                    .filter(known -> known.member()
                            .peerAddress()
                            .equals(context.identity().peerAddress()))
                    .toList();
        }
        for (VersionedMember known : predecessors) {
            if (sealRequested.add(known.member().id())) {
                seal(known);
            }
        }
    }

    private void seal(VersionedMember known) {
        MemberId member = known.member().id();
        VersionedMember sealed = new VersionedMember(known.member().withState(MemberState.SEALED), known.revision());
        context.callWithTimeout(
                () -> context.dependencies()
                        .store()
                        .put(ObjectNames.member(member), JsonCodec.encode(sealed.member()), sealed.revision()),
                context.options().storeTimeoutMs(),
                (revision, failure) -> {
                    context.log(() -> "event=predecessor-seal member=" + member + " revision=" + known.revision()
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
