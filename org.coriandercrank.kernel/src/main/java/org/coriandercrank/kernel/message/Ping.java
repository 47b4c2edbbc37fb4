package org.coriandercrank.kernel.message;

/** Checks that a connection is alive. Immutable. */
public record Ping() implements Message {}
