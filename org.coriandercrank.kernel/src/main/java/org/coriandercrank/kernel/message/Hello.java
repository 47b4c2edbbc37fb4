package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;

/** Handshake: the first message on each connection, in both directions. Immutable. */
public record Hello(MemberId sender, int protocolVersion) implements Message {}
