package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;

/** Vote of a witness; not granted after the witness refused the member at this record revision. Immutable. */
public record HeartbeatAck(MemberId witness, long sequence, boolean granted, Digest digest) implements Message {}
