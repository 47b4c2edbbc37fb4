package org.coriandercrank.kernel.table;

import java.util.Set;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * What a backend server announced about itself.
 *
 * <p>Immutable. Slots and connections are at least 1.
 */
public record BackendInfo(
        String name,
        ServiceName service,
        HostAddress address,
        int slots,
        int maxConnections,
        Set<Capability> capabilities) {
    /** What a backend server checks or honours; without one, the owner gate is the only guard. */
    public enum Capability {
        /** Rejects requests whose fence is older than the granted one. */
        FENCE,
        /** Rejects requests after the validity of its grant has lapsed. */
        VALIDITY,
        /** Stops work that is cancelled. */
        CANCEL,
        /** Stops work whose deadline has passed. */
        DEADLINE
    }

    public BackendInfo {
        if (service == null || address == null || capabilities == null) {
            throw new IllegalArgumentException("service, address and capabilities are required");
        }
        capabilities = Set.copyOf(capabilities);
        if (name == null || name.isEmpty()) {
            throw new IllegalArgumentException("backend server name must not be empty");
        }
        if (slots < 1 || maxConnections < 1) {
            throw new IllegalArgumentException("slots and maxConnections must be at least 1");
        }
    }
}
