package org.coriandercrank.testkit;

/**
 * One host of a test site: a daemon and the backend server beside it. Immutable.
 *
 * @param name also the name of the backend server
 */
public record HostSpec(String name, String region, String failureDomain, String service) {}
