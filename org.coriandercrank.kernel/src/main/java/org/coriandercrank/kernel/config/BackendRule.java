package org.coriandercrank.kernel.config;

/**
 * Rule for the backend server that announces a given name. A server without a rule has weight 100 and does not drain.
 *
 * <p>Immutable.
 *
 * @param weightPercent relative capacity in percent, 0 to 1000; a server of weight 0 is assigned nothing
 * @param drain whether the server gives up its ranges and receives no new requests
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
