package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/** A taker asks a witness to refuse a member at a record revision. Immutable. */
public record RefusalRequest(MemberId member, Revision recordRevision) implements Message {}
