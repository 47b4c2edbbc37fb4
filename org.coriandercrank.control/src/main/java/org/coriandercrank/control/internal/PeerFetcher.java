package org.coriandercrank.control.internal;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.peer.PeerTarget;

/**
 * Fetches from peers the changes that they know and this daemon does not. A peer that does not answer holds up only
 * itself: the next peer that is ahead is asked instead. Control thread only.
 */
final class PeerFetcher {
    private static final long TIMEOUT_MS = 1_000;

    /** Another peer is asked if one has not answered within this time. */
    private static final long PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final ControlContext context;
    private final ClusterView view;
    private final ControlMetrics metrics;
    private final BiConsumer<KindSync, ObjectData> answerListener;

    PeerFetcher(
            ControlContext context,
            ClusterView view,
            ControlMetrics metrics,
            BiConsumer<KindSync, ObjectData> answerListener) {
        this.context = context;
        this.view = view;
        this.metrics = metrics;
        this.answerListener = answerListener;
    }

    /** Fetches the changes of a kind if the position of a peer is ahead. */
    void fetchIfAhead(MemberId peer, KindSync sync, Revision peerPosition) {
        long nowNanos = context.nowNanos();
        Revision position = view.completeUpTo(sync.kind());
        if (sync.isFetching(nowNanos, PATIENCE_NANOS) || !sync.isListed() || !peerPosition.isNewerThan(position)) {
            return;
        }
        view.member(peer).ifPresent(record -> {
            sync.fetchStarted(nowNanos);
            metrics.fetched();
            PeerTarget target = PeerTarget.of(record.member());
            FetchObject request = new FetchObject(sync.kind(), fetchAfter(sync.kind(), position));
            context.callWithTimeout(
                    () -> context.dependencies().peerClient().call(target, request, ObjectData.class, TIMEOUT_MS),
                    TIMEOUT_MS,
                    (data, failure) -> {
                        sync.fetchEnded();
                        if (failure == null && data.kind() == sync.kind()) {
                            answerListener.accept(sync, data);
                        }
                    });
        });
    }

    /**
     * Returns the revision after which a peer is asked for changes. For the configuration it is that of the known object,
     * so that a peer also sends a change that the position has passed.
     */
    private Revision fetchAfter(FetchObject.Kind kind, Revision position) {
        Revision object = view.latestObjectRevision(kind);
        boolean usable = kind == FetchObject.Kind.CONFIGURATION && object.era().equals(position.era());
        return usable ? object : position;
    }
}
