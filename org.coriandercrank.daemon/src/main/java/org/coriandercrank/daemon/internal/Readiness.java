package org.coriandercrank.daemon.internal;

/** Whether callers should send requests to a daemon. */
enum Readiness {
    READY,
    /** No configuration has been read yet, or the daemon joins again after it was sealed. */
    STARTING,
    /** A planned stop is in progress. */
    DRAINING
}
