package org.coriandercrank.control.internal;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.RefusalAnswer;
import org.coriandercrank.kernel.message.RefusalNotice;
import org.coriandercrank.kernel.message.RefusalRequest;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.lease.Witness;

/**
 * Answers heartbeats and refusal requests of other members as their witness.
 *
 * <p>The votes are kept across incarnations of this daemon, because refusals that the process granted stay binding.
 * Control thread only.
 */
public final class WitnessService {
    private static final long NANOS_PER_MS = 1_000_000;

    private final ControlContext context;
    private final ClusterView view;
    private final ControlMetrics metrics;
    private final Witness witness;
    private final Consumer<MemberId> heartbeatListener;

    /**
     * Creates a witness.
     *
     * @param heartbeatListener notified of each member whose heartbeat is acknowledged
     */
    public WitnessService(
            ControlContext context, ClusterView view, ControlMetrics metrics, Consumer<MemberId> heartbeatListener) {
        this.context = context;
        this.view = view;
        this.metrics = metrics;
        this.heartbeatListener = heartbeatListener;
        this.witness =
                new Witness(context.options().leaseTiming(), context.options().maxWitnessedMembers());
    }

    /** Records a heartbeat and returns whether it is acknowledged. */
    public boolean acceptHeartbeat(MemberId member, Revision recordRevision) {
        boolean granted = witness.acceptHeartbeat(member, recordRevision, context.nowNanos());
        if (granted) {
            heartbeatListener.accept(member);
        } else {
            context.log(() -> "event=heartbeat-refused member=" + member + " revision=" + recordRevision);
        }
        return granted;
    }

    /**
     * Answers the refusal request of a taker. If the refusal is granted, the refused member is notified, so that it can
     * rewrite its record if it is alive.
     */
    public RefusalAnswer handleRefusalRequest(MemberId self, MemberId taker, RefusalRequest request) {
        Witness.RefusalDecision decision =
                witness.requestRefusal(request.member(), request.recordRevision(), context.nowNanos());
        if (decision.granted()) {
            metrics.refusalGranted();
            context.log(() -> "event=refusal member=" + request.member() + " revision=" + request.recordRevision()
                    + " taker=" + taker);
            view.member(request.member())
                    .ifPresent(record -> context.dependencies()
                            .peerClient()
                            .send(
                                    PeerTarget.of(record.member()),
                                    new RefusalNotice(request.member(), request.recordRevision())));
        }
        long retryAfterMs = (decision.retryAfterNanos() + NANOS_PER_MS - 1) / NANOS_PER_MS;
        return new RefusalAnswer(self, decision.granted(), retryAfterMs);
    }

    /** Returns when the latest heartbeat of a member was acknowledged; empty if unknown. */
    public OptionalLong lastAckNanos(MemberId member) {
        return witness.lastAckNanos(member);
    }
}
