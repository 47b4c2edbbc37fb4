package org.coriandercrank.kernel.config;

import java.util.Set;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * Configuration of one service. Immutable; limits are checked on construction.
 *
 * @param keyed whether each key of the service is owned by one backend server
 * @param repeatableMethods HTTP methods whose requests may be executed more than once
 * @param defaultDeadlineMs deadline in milliseconds of requests that state none
 * @param maxDeadlineMs maximum deadline in milliseconds that a caller may state
 * @param maxBodyBytes maximum size of a request body
 * @param maxQueueLength maximum number of requests that wait at one owner gate while all slots of its server are in use
 * @param maxKeySharePercent maximum share of slots and queue, in percent, that one key may use
 * @param placementPolicy name of the placement policy
 * @param balancingPolicy name of the balancing policy
 * @param locality which servers are preferred; a stored configuration without it has {@link #DEFAULT_LOCALITY}
 * @param keySpaceBits number of leading bits of a key's hash that distinguish keys, at most 64; ranges end only where
 *     these bits change. 0, the value in a stored configuration without this field, means 64
 * @param capacityControl how the gates determine what a server can execute at a time; a stored configuration without it
 *     has {@link #DEFAULT_CAPACITY_CONTROL}
 * @param coldRequestsPerSecond requests per second that a cold server tolerates from all daemons together; 0, the value
 *     in a stored configuration without this field, means no limit
 * @param healthPath path of the health check of a server, whose response names the server; empty, as in a stored
 *     configuration without this field, if there is none
 */
public record ServiceConfig(
        ServiceName name,
        boolean keyed,
        Set<String> repeatableMethods,
        int defaultDeadlineMs,
        int maxDeadlineMs,
        int maxBodyBytes,
        int maxQueueLength,
        int maxKeySharePercent,
        String placementPolicy,
        String balancingPolicy,
        Locality locality,
        int keySpaceBits,
        CapacityControl capacityControl,
        double coldRequestsPerSecond,
        String healthPath) {
    public static final Set<String> DEFAULT_REPEATABLE_METHODS = Set.of("GET", "HEAD");
    public static final int DEFAULT_DEADLINE_MS = 2_000;
    public static final int DEFAULT_MAX_DEADLINE_MS = 30_000;
    public static final int DEFAULT_MAX_BODY_BYTES = 262_144;
    public static final int DEFAULT_MAX_QUEUE_LENGTH = 64;
    public static final int DEFAULT_MAX_KEY_SHARE_PERCENT = 50;
    public static final String DEFAULT_PLACEMENT_POLICY = "availability";
    public static final String DEFAULT_BALANCING_POLICY = "two-choices";
    public static final Locality DEFAULT_LOCALITY = Locality.DOMAIN_FIRST;
    public static final int DEFAULT_KEY_SPACE_BITS = 64;
    public static final CapacityControl DEFAULT_CAPACITY_CONTROL = CapacityControl.REFUSALS;

    private static final int MAX_ALLOWED_DEADLINE_MS = 600_000;
    private static final int MAX_ALLOWED_BODY_BYTES = 8_388_608;
    private static final int MAX_ALLOWED_QUEUE_LENGTH = 10_000;
    private static final double MAX_COLD_REQUESTS_PER_SECOND = 1_000_000;

    public ServiceConfig {
        repeatableMethods = Set.copyOf(repeatableMethods);
        locality = locality == null ? DEFAULT_LOCALITY : locality;
        keySpaceBits = keySpaceBits == 0 ? DEFAULT_KEY_SPACE_BITS : keySpaceBits;
        capacityControl = capacityControl == null ? DEFAULT_CAPACITY_CONTROL : capacityControl;
        healthPath = healthPath == null ? "" : healthPath;
        checkRange("keySpaceBits", keySpaceBits, 1, DEFAULT_KEY_SPACE_BITS);
        checkRange("defaultDeadlineMs", defaultDeadlineMs, 1, maxDeadlineMs);
        checkRange("maxDeadlineMs", maxDeadlineMs, 1, MAX_ALLOWED_DEADLINE_MS);
        checkRange("maxBodyBytes", maxBodyBytes, 0, MAX_ALLOWED_BODY_BYTES);
        checkRange("maxQueueLength", maxQueueLength, 0, MAX_ALLOWED_QUEUE_LENGTH);
        checkRange("maxKeySharePercent", maxKeySharePercent, 1, 100);
        if (!(coldRequestsPerSecond >= 0 && coldRequestsPerSecond <= MAX_COLD_REQUESTS_PER_SECOND)) {
            throw new IllegalArgumentException("coldRequestsPerSecond must be between 0 and "
                    + MAX_COLD_REQUESTS_PER_SECOND + ", got " + coldRequestsPerSecond);
        }
    }

    /** A service with the default capacity control and no limit for cold servers. */
    public ServiceConfig(
            ServiceName name,
            boolean keyed,
            Set<String> repeatableMethods,
            int defaultDeadlineMs,
            int maxDeadlineMs,
            int maxBodyBytes,
            int maxQueueLength,
            int maxKeySharePercent,
            String placementPolicy,
            String balancingPolicy,
            Locality locality,
            int keySpaceBits) {
        this(
                name,
                keyed,
                repeatableMethods,
                defaultDeadlineMs,
                maxDeadlineMs,
                maxBodyBytes,
                maxQueueLength,
                maxKeySharePercent,
                placementPolicy,
                balancingPolicy,
                locality,
                keySpaceBits,
                DEFAULT_CAPACITY_CONTROL,
                0,
                "");
    }

    /** Returns this service with another way of limiting the load of its servers. */
    public ServiceConfig withCapacityControl(CapacityControl newCapacityControl, double newColdRequestsPerSecond) {
        return new ServiceConfig(
                name,
                keyed,
                repeatableMethods,
                defaultDeadlineMs,
                maxDeadlineMs,
                maxBodyBytes,
                maxQueueLength,
                maxKeySharePercent,
                placementPolicy,
                balancingPolicy,
                locality,
                keySpaceBits,
                newCapacityControl,
                newColdRequestsPerSecond,
                healthPath);
    }

    /** Returns this service with another path of the health check. */
    public ServiceConfig withHealthPath(String newHealthPath) {
        return new ServiceConfig(
                name,
                keyed,
                repeatableMethods,
                defaultDeadlineMs,
                maxDeadlineMs,
                maxBodyBytes,
                maxQueueLength,
                maxKeySharePercent,
                placementPolicy,
                balancingPolicy,
                locality,
                keySpaceBits,
                capacityControl,
                coldRequestsPerSecond,
                newHealthPath);
    }

    /** A service with the default configuration. */
    public static ServiceConfig withDefaults(ServiceName name, boolean keyed) {
        return new ServiceConfig(
                name,
                keyed,
                DEFAULT_REPEATABLE_METHODS,
                DEFAULT_DEADLINE_MS,
                DEFAULT_MAX_DEADLINE_MS,
                DEFAULT_MAX_BODY_BYTES,
                DEFAULT_MAX_QUEUE_LENGTH,
                DEFAULT_MAX_KEY_SHARE_PERCENT,
                DEFAULT_PLACEMENT_POLICY,
                DEFAULT_BALANCING_POLICY,
                DEFAULT_LOCALITY,
                DEFAULT_KEY_SPACE_BITS);
    }

    /** Whether requests with this HTTP method may be executed more than once. */
    public boolean isRepeatable(String method) {
        return repeatableMethods.contains(method);
    }

    private static void checkRange(String field, int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(field + " must be between " + min + " and " + max + ", got " + value);
        }
    }
}
