package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * Asks a witness to vote for renewing the lease of a member. Immutable.
 *
 * @param recordRevision store revision of the member record
 * @param sequence number of the heartbeat, repeated in the answer
 * @param digest control objects that the member knows
 */
public record Heartbeat(MemberId member, Revision recordRevision, long sequence, Digest digest) implements Message {}
