package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;

/**
 * Vote of a witness on a {@link Heartbeat}. Immutable.
 *
 * @param sequence number of the heartbeat
 * @param granted false if the witness has refused the member at the record revision of the heartbeat or a newer one
 * @param digest control objects that the witness knows
 */
public record HeartbeatAck(MemberId witness, long sequence, boolean granted, Digest digest) implements Message {}
