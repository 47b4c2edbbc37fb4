package org.coriandercrank.daemon.internal;

/** Whether callers should send requests to a daemon. */
enum Readiness {
    READY,
    /** The daemon has not read a configuration yet. */
    STARTING,
    /** A graceful shutdown is in progress. */
    DRAINING
}
