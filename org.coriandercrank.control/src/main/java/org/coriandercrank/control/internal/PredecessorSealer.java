package org.coriandercrank.control.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Seals the member records of earlier processes with the peer address of this daemon, after this daemon has joined, or
 * if it will not join because its server leaves.
 *
 * <p>The address is used by one process at a time, so the earlier processes have ended, and so have the grants of a
 * backend server at whose address another one has been identified. Any other backend server may hold what an earlier
 * process has granted until the longest validity has passed since the start of this process, and what a former member of
 * this process has granted until the gate says otherwise; no member is sealed before. Without the seals, the ranges would
 * stay unavailable until witnesses detect the missing heartbeats. Control thread only.
 */
final class PredecessorSealer {
    private final ControlContext context;
    private final ClusterView view;
    private final long startedAtNanos;

    /** Members whose seal is in flight, succeeded or waits for a retry. */
    private final Set<MemberId> sealRequested = new HashSet<>();

    /** Name of the present backend server, if the process at its address has stated it. */
    private Optional<String> identifiedBackend = Optional.empty();

    private Era checkedEra = Era.NONE;
    private long checkedSnapshotVersion = -1;
    private List<VersionedMember> predecessors = List.of();

    PredecessorSealer(ControlContext context, ClusterView view) {
        this.context = context;
        this.view = view;
        startedAtNanos = context.nowNanos();
    }

    void backendIdentified(Optional<String> backendName) {
        identifiedBackend = backendName;
    }

    /** Starts the seals that are due. Only a new snapshot changes the set of predecessors. */
    void tick(MemberId self, CompletableFuture<Void> formerGrantsEnded) {
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
            if (haveGrantsEnded(predecessor.member(), formerGrantsEnded.isDone())
                    && sealRequested.add(predecessor.member().id())) {
                seal(predecessor);
            }
        }
    }

    /** Whether no backend server can hold a range that the predecessor has granted. */
    private boolean haveGrantsEnded(Member predecessor, boolean formerGrantsEnded) {
        // A record without a server proves nothing: the store may have returned from a copy made before the
        // announcement.
        if (predecessor.backend().filter(this::isServerReplaced).isPresent()) {
            return true;
        }
        boolean earlierProcessGrantsEnded = context.nowNanos() - startedAtNanos
                >= TimeUnit.MILLISECONDS.toNanos(context.options().ttlMs());
        return earlierProcessGrantsEnded && formerGrantsEnded;
    }

    private boolean isServerReplaced(BackendInfo earlier) {
        return identifiedBackend.filter(name -> !name.equals(earlier.name())).isPresent();
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
