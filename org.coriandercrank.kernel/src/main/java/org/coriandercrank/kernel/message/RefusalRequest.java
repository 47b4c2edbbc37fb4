package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * Sent by a daemon that takes over a member: asks a witness to acknowledge no further heartbeat with this record
 * revision of the member or an older one. Immutable.
 *
 * @param knownForMs time in milliseconds for which the sender has known this record revision, rounded down
 */
public record RefusalRequest(MemberId member, Revision recordRevision, long knownForMs) implements Message {}
