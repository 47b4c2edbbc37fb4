package org.coriandercrank.standin.internal;

/**
 * Answer to {@code GET /admin/stats} of the backend server. Immutable.
 *
 * @param executed requests that took effect since the start
 * @param rejected requests answered as not run since the start
 */
public record BackendStats(
        long executed, long rejected, int running, int waiting, int values, int openConnections, int peakConnections) {}
