package org.coriandercrank.kernel.message;

import java.util.Optional;
import org.coriandercrank.kernel.id.MemberId;

/**
 * Vote of a witness on a {@link Heartbeat}. Immutable.
 *
 * @param sequence number of the heartbeat
 * @param granted false if the witness has refused the member at the record revision of the heartbeat or a newer one, or
 *     if the heartbeat names another process of the witness
 * @param digest control objects that the witness knows
 * @param otherBoot the process that answers, if the heartbeat names another one
 */
public record HeartbeatAck(
        MemberId witness, long sequence, boolean granted, Digest digest, Optional<WitnessBoot> otherBoot)
        implements Message {
    public HeartbeatAck {
        if (granted && otherBoot.isPresent()) {
            throw new IllegalArgumentException("a process that the heartbeat does not name cannot grant a vote");
        }
    }
}
