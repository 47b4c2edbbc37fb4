package org.coriandercrank.kernel.config;

import java.util.Set;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * Rules of one service. Immutable; limits are checked on construction.
 *
 * @param keyed whether the service is divided by key
 * @param repeatableMethods HTTP methods that may run more than once
 * @param defaultDeadlineMs deadline of requests that name none
 * @param maxDeadlineMs longest deadline that a caller may ask for
 * @param maxBodyBytes longest request body
 * @param maxQueueLength requests that may wait at one gate beyond the slots of its server
 * @param maxKeySharePercent share of slots and queue that one key may use
 * @param placementPolicy name of the placement policy
 * @param balancingPolicy name of the balancing policy
 * @param locality which servers are preferred; a stored configuration without it has the default
 * @param keySpaceBits leading bits of a key's position that tell keys apart, at most 64; ranges end only where these
 *     bits change. 0, as in a stored configuration without it, stands for 64
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
        int keySpaceBits) {
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

    private static final int LIMIT_DEADLINE_MS = 600_000;
    private static final int LIMIT_BODY_BYTES = 8_388_608;
    private static final int LIMIT_QUEUE_LENGTH = 10_000;

    public ServiceConfig {
        repeatableMethods = Set.copyOf(repeatableMethods);
        locality = locality == null ? DEFAULT_LOCALITY : locality;
        keySpaceBits = keySpaceBits == 0 ? DEFAULT_KEY_SPACE_BITS : keySpaceBits;
        checkRange("keySpaceBits", keySpaceBits, 1, DEFAULT_KEY_SPACE_BITS);
        checkRange("defaultDeadlineMs", defaultDeadlineMs, 1, maxDeadlineMs);
        checkRange("maxDeadlineMs", maxDeadlineMs, 1, LIMIT_DEADLINE_MS);
        checkRange("maxBodyBytes", maxBodyBytes, 0, LIMIT_BODY_BYTES);
        checkRange("maxQueueLength", maxQueueLength, 0, LIMIT_QUEUE_LENGTH);
        checkRange("maxKeySharePercent", maxKeySharePercent, 1, 100);
    }

    /** A service with default rules. */
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

    public boolean isRepeatable(String method) {
        return repeatableMethods.contains(method);
    }

    private static void checkRange(String field, int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(field + " must be between " + min + " and " + max + ", got " + value);
        }
    }
}
