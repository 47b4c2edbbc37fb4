package org.coriandercrank.kernel.backend;

/**
 * What a backend server says of itself; it may lag or mislead. Immutable.
 *
 * @param load requests in execution or waiting, as reported
 */
public record BackendHealth(boolean healthy, boolean draining, int load) {}
