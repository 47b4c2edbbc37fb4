package org.coriandercrank.kernel.table;

/** Life cycle of a member; {@link #SEALED} is final. */
public enum MemberState {
    /** No backend server has announced itself yet. */
    JOINING,
    /** May own ranges. */
    ACTIVE,
    /** Finishes its work and gets no new ranges. */
    LEAVING,
    /** Has no valid lease and never will have one again. */
    SEALED
}
