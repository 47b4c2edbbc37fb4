package org.coriandercrank.kernel.config;

/**
 * What the route of a request allows, and how much the request matters. Immutable.
 *
 * @param repeatable whether the request may run more than once
 * @param maxServers most backend servers to which the request may be sent
 * @param priority rank of the request; 0 is the highest
 * @param latencyObjectiveMs time within which an answer has its full worth
 */
public record RequestRules(boolean repeatable, int maxServers, int priority, long latencyObjectiveMs) {}
