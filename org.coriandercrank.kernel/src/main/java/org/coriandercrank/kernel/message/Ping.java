package org.coriandercrank.kernel.message;

/** Checks whether a connection still works; the answer is a {@link Pong}. Immutable. */
public record Ping() implements Message {}
