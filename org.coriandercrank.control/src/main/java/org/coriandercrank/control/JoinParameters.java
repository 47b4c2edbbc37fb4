package org.coriandercrank.control;

import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.id.MemberId;

/**
 * Parameters with which a daemon joins the cluster. Immutable.
 *
 * @param id member id of the new incarnation
 * @param mayResume whether the daemon may resume the record that an earlier process of this host wrote under the same
 *     id; allowed only if no process of another host uses the id and at most one process at a time uses the peer
 *     address of this host
 * @param formerGrantsEnded completes when the backend server of this host can use no grant any more that it got under
 *     the former members of this process; their records are not sealed before
 */
public record JoinParameters(MemberId id, boolean mayResume, CompletableFuture<Void> formerGrantsEnded) {
    /** Returns the parameters of an incarnation that neither resumes a record nor seals those of former members. */
    public static JoinParameters withoutFormer(MemberId id) {
        return new JoinParameters(id, false, new CompletableFuture<>());
    }
}
