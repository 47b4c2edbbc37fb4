package org.coriandercrank.control.internal;

/** Where a daemon learned of a control object. */
public enum UpdateSource {
    LISTING,
    WATCH,
    /** Fetched from a peer whose digest was ahead. */
    PEER,
    /** Sent by a peer without a request. */
    PUSH,
    /** Written or read by this daemon itself. */
    OWN
}
