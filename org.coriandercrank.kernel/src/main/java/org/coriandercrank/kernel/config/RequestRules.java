package org.coriandercrank.kernel.config;

/**
 * Rules that a route sets for its requests. Immutable.
 *
 * @param repeatable whether a request may be executed more than once
 * @param maxServers maximum number of backend servers to which one request may be sent
 * @param priority priority of a request; 0 is the highest
 * @param latencyObjectiveMs target response time in milliseconds; a later answer is worth less
 */
public record RequestRules(boolean repeatable, int maxServers, int priority, long latencyObjectiveMs) {}
