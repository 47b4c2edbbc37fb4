package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/** A witness tells a member that it refuses it at a record revision; no answer. Immutable. */
public record RefusalNotice(MemberId member, Revision recordRevision) implements Message {}
