package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;

/**
 * Vote of a witness on a {@link Heartbeat}. Immutable.
 *
 * @param sequence number of the heartbeat
 * @param granted false once the witness has refused the member at this record revision
 * @param digest control objects that the witness knows
 */
public record HeartbeatAck(MemberId witness, long sequence, boolean granted, Digest digest) implements Message {}
