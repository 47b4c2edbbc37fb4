package org.coriandercrank.standin.internal;

/**
 * One execution that took effect; a line of the ledger. Immutable.
 *
 * @param order position in the order in which executions of this process started, from 1
 * @param key empty for a request without key
 * @param startNanos start on the monotonic clock of the process
 * @param endNanos instant of the effect on the same clock
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
