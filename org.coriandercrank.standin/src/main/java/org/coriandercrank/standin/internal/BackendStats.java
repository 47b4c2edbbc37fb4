package org.coriandercrank.standin.internal;

/**
 * Response to {@code GET /admin/stats} of the backend server. Immutable.
 *
 * @param executed number of requests that took effect since the start
 * @param rejected number of requests answered as not run since the start
 * @param running number of requests that occupy a slot
 * @param waiting number of requests that wait for a slot
 * @param values number of stored values
 * @param openConnections number of open connections
 * @param peakConnections largest number of connections that were served at the same time since the start
 */
public record BackendStats(
        long executed, long rejected, int running, int waiting, int values, int openConnections, int peakConnections) {}
