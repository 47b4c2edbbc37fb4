package org.coriandercrank.experiment.internal;

/**
 * Counters of a fleet at one moment, summed over its daemons. Immutable.
 *
 * @param cpuMs processor time used by the daemons
 * @param controlBytes bytes of control messages sent and received between daemons
 * @param storeReads calls of get and list
 * @param storeWrites calls of put and delete
 */
record FleetSample(
        long takenAtNanos,
        double cpuMs,
        double controlBytes,
        double controlMessages,
        double heapBytes,
        double residentBytes,
        long storeReads,
        long storeWrites,
        long storeWatches) {}
