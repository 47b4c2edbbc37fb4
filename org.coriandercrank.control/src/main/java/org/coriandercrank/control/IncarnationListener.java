package org.coriandercrank.control;

import org.coriandercrank.kernel.id.MemberId;

/** Learns that the incarnation of this daemon was sealed or replaced by others. */
@FunctionalInterface
public interface IncarnationListener {
    /**
     * Called once for an incarnation, on the control thread; must not block. The lease is already invalid. The daemon
     * drops all its ranges and then calls {@link ControlPlane#rejoin()}.
     */
    void incarnationEnded(MemberId member, String reason);
}
