package org.coriandercrank.kernel.table;

/** Lifecycle of a member; {@link #SEALED} is final. */
public enum MemberState {
    /** No backend server has announced itself yet. */
    JOINING,
    /** May own ranges. */
    ACTIVE,
    /** Completes its requests and receives no new ranges. */
    LEAVING,
    /** Has no valid lease and can never obtain one again. */
    SEALED
}
