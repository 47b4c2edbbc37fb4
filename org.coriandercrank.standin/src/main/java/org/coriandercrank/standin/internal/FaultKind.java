package org.coriandercrank.standin.internal;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Faults that a stand-in can be told to show. */
public enum FaultKind {
    /** Ends all faults. */
    @JsonProperty("up")
    UP,
    /** Calls are answered with 503 and have no effect. */
    @JsonProperty("down")
    DOWN,
    /** Connections are closed without an answer; calls have no effect. */
    @JsonProperty("closed")
    CLOSED,
    /** Calls take effect and are answered after a delay. */
    @JsonProperty("slow")
    SLOW,
    /** Writes take effect and the connection is closed without an answer. */
    @JsonProperty("unanswered")
    UNANSWERED,
    /** Writes take effect after a delay and are never answered. */
    @JsonProperty("delayed-write")
    DELAYED_WRITE,
    /** Calls take effect and the connection is closed in the middle of the answer. */
    @JsonProperty("cut-answer")
    CUT_ANSWER,
    /** Calls are refused as overload, certainly without effect. */
    @JsonProperty("shed")
    SHED
}
