package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.BootId;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * Asks a witness to vote for renewing the lease of a member. Immutable.
 *
 * @param recordRevision store revision of the member record
 * @param sequence number of the heartbeat, repeated in the answer
 * @param digest control objects that the member knows
 * @param witnessBoot process of the witness that may vote, because no earlier process of the witness has refused the
 *     member at this record revision or a newer one; {@link BootId#NONE} if the member knows of no such process
 */
public record Heartbeat(MemberId member, Revision recordRevision, long sequence, Digest digest, BootId witnessBoot)
        implements Message {}
