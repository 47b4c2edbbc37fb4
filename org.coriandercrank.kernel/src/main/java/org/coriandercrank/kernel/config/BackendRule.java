package org.coriandercrank.kernel.config;

/**
 * Rule for a backend server, by the name that it announces. A server without a rule has weight 100 and is admitted.
 *
 * <p>Immutable.
 *
 * @param weightPercent relative capacity, 0 to 1000; 0 places nothing on it
 * @param drain whether the server gives up its ranges and takes no new work
 */
public record BackendRule(String backendName, int weightPercent, boolean drain) {
    public static final int DEFAULT_WEIGHT_PERCENT = 100;
    public static final int MAX_WEIGHT_PERCENT = 1_000;

    public BackendRule {
        if (backendName == null || backendName.isEmpty()) {
            throw new IllegalArgumentException("backendName must not be empty");
        }
        if (weightPercent < 0 || weightPercent > MAX_WEIGHT_PERCENT) {
            throw new IllegalArgumentException("weightPercent must be between 0 and " + MAX_WEIGHT_PERCENT);
        }
    }
}
