package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/** Asks a witness for its vote on the lease of a member. Immutable. */
public record Heartbeat(MemberId member, Revision recordRevision, long sequence, Digest digest) implements Message {}
