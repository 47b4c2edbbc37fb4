package org.coriandercrank.control.internal;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.coriandercrank.kernel.id.BootId;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.Digest;
import org.coriandercrank.kernel.message.Heartbeat;
import org.coriandercrank.kernel.message.HeartbeatAck;
import org.coriandercrank.kernel.message.RefusalAnswer;
import org.coriandercrank.kernel.message.RefusalNotice;
import org.coriandercrank.kernel.message.RefusalRequest;
import org.coriandercrank.kernel.message.WitnessBoot;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.lease.Witness;

/**
 * Answers heartbeats and refusal requests of other members as their witness.
 *
 * <p>The votes are kept across incarnations of this daemon, because refusals that the process granted stay binding. They
 * are lost when the process ends, see {@link Witness}. Control thread only.
 */
public final class WitnessService {
    private static final long NANOS_PER_MS = 1_000_000;

    private final ControlContext context;
    private final ClusterView view;
    private final ControlMetrics metrics;
    private final long startNanos;
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
        this.startNanos = context.nowNanos();
        this.witness = new Witness(
                context.options().leaseTiming(),
                context.options().maxWitnessedMembers(),
                newBootId(context),
                startNanos);
    }

    private static BootId newBootId(ControlContext context) {
        BootId boot = new BootId(context.random().nextInt());
        return boot.equals(BootId.NONE) ? newBootId(context) : boot;
    }

    /** Records a heartbeat and returns the answer to it. */
    public HeartbeatAck handleHeartbeat(MemberId self, Heartbeat heartbeat) {
        long nowNanos = context.nowNanos();
        Witness.HeartbeatDecision decision = isRecordLost(heartbeat)
                ? Witness.HeartbeatDecision.REFUSED
                : witness.acceptHeartbeat(
                        heartbeat.member(), heartbeat.recordRevision(), heartbeat.witnessBoot(), nowNanos);
        boolean granted = decision == Witness.HeartbeatDecision.ACKNOWLEDGED;
        if (granted) {
            heartbeatListener.accept(heartbeat.member());
        } else {
            context.log(() -> "event=heartbeat-refused member=" + heartbeat.member() + " revision="
                    + heartbeat.recordRevision() + " reason=" + decision + " era="
                    + context.eras().era() + " boot=" + witness.boot() + " named="
                    + heartbeat.witnessBoot());
        }
        Optional<WitnessBoot> otherBoot = decision == Witness.HeartbeatDecision.OTHER_BOOT
                ? Optional.of(new WitnessBoot(witness.boot(), (nowNanos - startNanos) / NANOS_PER_MS))
                : Optional.empty();
        return new HeartbeatAck(self, heartbeat.sequence(), granted, digestFor(heartbeat), otherBoot);
    }

    /** Returns the digest without the position that a member of an earlier version cannot read. */
    private Digest digestFor(Heartbeat heartbeat) {
        Digest digest = view.digest();
        return heartbeat.digest().evacuations().equals(Revision.NONE) ? digest.withEvacuations(Revision.NONE) : digest;
    }

    /** Whether the record that the heartbeat names was lost when the store returned from an older copy. */
    private boolean isRecordLost(Heartbeat heartbeat) {
        Optional<Revision> stored = view.member(heartbeat.member()).map(VersionedMember::revision);
        return !context.eras().mayAcknowledge(heartbeat.recordRevision(), stored);
    }

    /**
     * Answers the refusal request of a taker. If the refusal is granted, the refused member is notified, so that it can
     * rewrite its record if it is alive.
     */
    public RefusalAnswer handleRefusalRequest(MemberId self, MemberId taker, RefusalRequest request) {
        context.eras().observe(request.recordRevision().era(), context.nowNanos());
        Witness.RefusalDecision decision = witness.requestRefusal(
                request.member(), request.recordRevision(), request.knownForMs() * NANOS_PER_MS, context.nowNanos());
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
