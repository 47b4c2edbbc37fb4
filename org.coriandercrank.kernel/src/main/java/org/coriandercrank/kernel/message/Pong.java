package org.coriandercrank.kernel.message;

/** Answer to {@link Ping}. Immutable. */
public record Pong() implements Message {}
