package org.coriandercrank.daemon;

import java.util.Objects;
import java.util.Optional;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.control.HostIdentity;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.ingress.CallerProtocol;
import org.coriandercrank.ingress.IngressOptions;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.peer.PeerOptions;
import org.coriandercrank.placement.PlannerOptions;
import org.coriandercrank.placement.RangeOwnershipOptions;

/**
 * Identity of a {@link DaemonHost} and options of its components. Immutable.
 *
 * @param peerListen address on which connections from other daemons are accepted
 * @param protocol protocol of the callers; empty for the product's own protocol
 * @param joinsOnStart whether the daemon joins when it starts; otherwise it joins on {@link DaemonHost#join}
 */
public record HostOptions(
        HostIdentity identity,
        HostAddress peerListen,
        ControlOptions control,
        GateOptions gate,
        IngressOptions ingress,
        RangeOwnershipOptions ownership,
        PlannerOptions planner,
        PeerOptions peer,
        Optional<CallerProtocol> protocol,
        boolean joinsOnStart) {
    public HostOptions {
        Objects.requireNonNull(identity, "identity");
    }

    /** Default options of {@code crankd}. */
    public static HostOptions defaults(HostIdentity identity, HostAddress peerListen, ControlOptions control) {
        return new HostOptions(
                identity,
                peerListen,
                control,
                GateOptions.DEFAULTS,
                IngressOptions.DEFAULTS,
                RangeOwnershipOptions.DEFAULTS,
                PlannerOptions.DEFAULTS,
                PeerOptions.DEFAULTS,
                Optional.empty(),
                true);
    }
}
