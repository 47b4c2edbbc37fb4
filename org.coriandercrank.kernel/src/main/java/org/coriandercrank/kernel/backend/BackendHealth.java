package org.coriandercrank.kernel.backend;

/**
 * Health that a backend server reports about itself; it may be stale or wrong. Immutable.
 *
 * @param load number of requests that are queued or executing, as reported
 */
public record BackendHealth(boolean healthy, boolean draining, int load) {}
