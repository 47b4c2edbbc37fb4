package org.coriandercrank.control;

import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.Region;

/**
 * Addresses and location of a daemon, from its settings. Immutable.
 *
 * @param name prefix of the member ids of this host; 1 to 64 characters of {@code [A-Za-z0-9._-]}
 * @param peerAddress address for connections from other daemons
 * @param callerAddress address for requests of callers
 * @param adminAddress address for operators and metrics
 */
public record HostIdentity(
        String name,
        HostAddress peerAddress,
        HostAddress callerAddress,
        HostAddress adminAddress,
        Region region,
        FailureDomain failureDomain) {
    private static final int MAX_NAME_LENGTH = 64;

    public HostIdentity {
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
            throw new IllegalArgumentException("name must have 1 to " + MAX_NAME_LENGTH + " characters");
        }
    }

    /** Creates an identity that is named after the peer address, for hosts without a host name setting. */
    public static HostIdentity ofAddress(
            HostAddress peer, HostAddress caller, HostAddress admin, Region region, FailureDomain failureDomain) {
        String name = peer.toString().replace(':', '-');
        return new HostIdentity(name, peer, caller, admin, region, failureDomain);
    }
}
