package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * Asks a witness to stop voting for the lease of a member at a record revision, so that the sender can take over.
 * Immutable.
 */
public record RefusalRequest(MemberId member, Revision recordRevision) implements Message {}
