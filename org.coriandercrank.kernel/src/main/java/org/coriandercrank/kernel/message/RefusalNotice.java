package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/** Informs a member that the sending witness refuses it at a record revision. Has no answer. Immutable. */
public record RefusalNotice(MemberId member, Revision recordRevision) implements Message {}
