package org.coriandercrank.kernel.ownership;

import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.table.Member;

/** A member record and its revision in the store. Immutable. */
public record VersionedMember(Member member, Revision revision) {}
