/** Simulation of the ownership of keys by several hosts in virtual time, under faults of the hosts, network and store. */
package org.coriandercrank.daemon.ownership;
