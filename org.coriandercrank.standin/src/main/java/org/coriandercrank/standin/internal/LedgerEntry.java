package org.coriandercrank.standin.internal;

/**
 * An execution that took effect; one line of the ledger. Immutable.
 *
 * @param order position of the execution in the order in which executions of this process started, from 1
 * @param server name of the backend server
 * @param key key of the request; empty for a request without key
 * @param fence fencing token of the request
 * @param startNanos start of the execution on the monotonic clock of the process
 * @param endNanos time of the effect on the same clock
 * @param startWallMs start of the execution in milliseconds since the epoch
 * @param endWallMs time of the effect in milliseconds since the epoch
 */
public record LedgerEntry(
        long order,
        String server,
        String requestId,
        String key,
        String method,
        long fence,
        long startNanos,
        long endNanos,
        long startWallMs,
        long endWallMs) {}
