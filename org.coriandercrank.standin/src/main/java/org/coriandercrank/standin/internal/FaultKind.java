package org.coriandercrank.standin.internal;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Faults that can be injected into a stand-in. */
public enum FaultKind {
    /** Removes all faults. */
    @JsonProperty("up")
    UP,
    /** Requests are answered with 503 and have no effect. */
    @JsonProperty("down")
    DOWN,
    /** Connections are closed without a response; requests have no effect. */
    @JsonProperty("closed")
    CLOSED,
    /** Requests take effect and are answered after a delay. */
    @JsonProperty("slow")
    SLOW,
    /** Writes take effect, but the connection is closed without a response. */
    @JsonProperty("unanswered")
    UNANSWERED,
    /** Writes take effect after a delay and are never answered. */
    @JsonProperty("delayed-write")
    DELAYED_WRITE,
    /** Requests take effect, but the connection is closed in the middle of the response. */
    @JsonProperty("cut-answer")
    CUT_ANSWER,
    /** Requests are rejected with 503 as by an overloaded server and have no effect. */
    @JsonProperty("shed")
    SHED,
    /** The store is away, as with {@link #DOWN}, and then returns from an older copy of itself in a new era. */
    @JsonProperty("older-copy")
    OLDER_COPY
}
