package org.coriandercrank.testkit;

/**
 * Describes a host of a test cluster, on which a daemon and its backend server run. Immutable.
 *
 * @param name name of the host and of its backend server
 * @param region region of the host
 * @param failureDomain failure domain of the host
 * @param service service of the backend server
 */
public record HostSpec(String name, String region, String failureDomain, String service) {}
