package org.coriandercrank.control;

import org.coriandercrank.kernel.id.MemberId;

/** Receives a notification when the incarnation of this daemon was ended by others. */
@FunctionalInterface
public interface IncarnationListener {
    /**
     * Called once per incarnation after its record was sealed, deleted or replaced by others.
     *
     * <p>The lease is already invalid. The daemon must release all its ranges and then call
     * {@link ControlPlane#rejoin()}. Runs on the control thread and must not block.
     */
    void incarnationEnded(MemberId member, String reason);
}
