package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * Informs a member that the sending witness acknowledges no heartbeat with this record revision or an older one. Has no
 * answer. Immutable.
 */
public record RefusalNotice(MemberId member, Revision recordRevision) implements Message {}
