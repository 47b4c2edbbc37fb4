package org.coriandercrank.kernel.table;

import com.google.common.collect.Sets;
import java.util.Set;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * Properties of a backend server, as it announced them.
 *
 * <p>Immutable. Slots and connections are at least 1.
 *
 * @param slots number of requests that the server executes concurrently
 * @param maxConnections maximum number of connections to the server
 * @param capabilities checks and cancellations that the server supports
 */
public record BackendInfo(
        String name,
        ServiceName service,
        HostAddress address,
        int slots,
        int maxConnections,
        Set<Capability> capabilities) {
    /**
     * What a backend server supports. For a capability that is missing, only the owner gate provides the protection.
     */
    public enum Capability {
        /** Rejects requests whose fencing token is older than the granted one. */
        FENCE,
        /** Rejects requests after the validity of its grant has expired. */
        VALIDITY,
        /** Stops the execution of a cancelled request. */
        CANCEL,
        /** Stops the execution of a request whose deadline has passed. */
        DEADLINE
    }

    public BackendInfo {
        if (service == null || address == null || capabilities == null) {
            throw new IllegalArgumentException("service, address and capabilities are required");
        }
        capabilities = Sets.immutableEnumSet(capabilities);
        if (name == null || name.isEmpty()) {
            throw new IllegalArgumentException("backend server name must not be empty");
        }
        if (slots < 1 || maxConnections < 1) {
            throw new IllegalArgumentException("slots and maxConnections must be at least 1");
        }
    }
}
