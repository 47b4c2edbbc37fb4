package org.coriandercrank.experiment.internal;

/**
 * Counters and memory usage of a cluster at one time, summed over its daemons. Immutable.
 *
 * @param takenAtNanos time of the sample on the monotonic clock
 * @param cpuMs processor time used by the daemons since their start
 * @param controlBytes bytes of control messages between daemons, counted both when sent and when received
 * @param controlMessages number of these messages, counted likewise
 * @param heapBytes used heap memory of the daemons
 * @param residentBytes resident memory of the daemon processes
 * @param storeReads number of get and list requests to the store
 * @param storeWrites number of put and delete requests to the store
 * @param storeWatches number of watch requests to the store
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
