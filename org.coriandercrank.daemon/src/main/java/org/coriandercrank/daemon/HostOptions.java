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
 * What a {@link DaemonHost} is and how its parts behave. Immutable.
 *
 * @param peerListen address for links from other daemons
 * @param protocol how callers write requests; empty for the product's own protocol
 * @param joinsOnStart whether the daemon joins when it starts, or waits for {@link DaemonHost#join}
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

    /** Default options of the product's own programs. */
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
