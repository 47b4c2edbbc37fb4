package org.coriandercrank.standin.internal;

import org.coriandercrank.kernel.table.BackendInfo;

/**
 * Configured behaviour of the backend server. Immutable.
 *
 * @param info description of the server for its daemon
 * @param queueLimit largest number of requests that wait for a slot; further ones are rejected
 * @param serviceMs time for which one request occupies a slot
 * @param coldStartMs period after the start in which requests take longer
 * @param coldStartFactor factor on the service time at the start; it decreases linearly to 1
 * @param healthLagMs age of the state that the health and load endpoints report
 * @param faultSeed seed of the faults that occur with a probability
 * @param ledgerFile file to which each execution is appended as a JSON line; empty for none
 * @param crashPath path prefix of requests that end the process at the end of their service time; empty for none
 */
public record BackendOptions(
        BackendInfo info,
        int queueLimit,
        long serviceMs,
        long coldStartMs,
        double coldStartFactor,
        long healthLagMs,
        long faultSeed,
        String ledgerFile,
        String crashPath) {
    /** Whether a request with this path ends the process. */
    boolean isCrashing(String path) {
        return !crashPath.isEmpty() && path.startsWith(crashPath);
    }
}
