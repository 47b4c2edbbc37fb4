package org.coriandercrank.standin.internal;

import org.coriandercrank.kernel.table.BackendInfo;

/**
 * Behaviour of the backend server. Immutable.
 *
 * @param queueLimit requests that may wait for a slot; one more is shed
 * @param serviceMs time that a slot is in use for one request
 * @param coldStartMs time after the start during which requests take longer
 * @param coldStartFactor factor on the service time at the start, falling linearly to 1
 * @param healthLagMs age of what the health and load endpoints report
 */
public record BackendOptions(
        BackendInfo info,
        int queueLimit,
        long serviceMs,
        long coldStartMs,
        double coldStartFactor,
        long healthLagMs,
        long faultSeed,
        String ledgerFile) {}
