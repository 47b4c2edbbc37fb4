package org.coriandercrank.peer.internal;

import org.coriandercrank.kernel.message.Message;

/**
 * A message and its correlation id. Immutable.
 *
 * @param correlationId the same in a call and its answer; {@link #ONE_WAY} for a message without an answer
 */
public record Frame(long correlationId, Message message) {
    public static final long ONE_WAY = 0;
}
