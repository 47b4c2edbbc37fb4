package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.request.CallerRequest;

/**
 * Forwards a request to the owner gate of another daemon. Immutable.
 *
 * @param tableGeneration generation of the assignment table that the sender uses
 */
public record ForwardRequest(CallerRequest request, Generation tableGeneration) implements Message {
    /** The message when it is sent later by a time in milliseconds, which shortens the remaining time of the request. */
    public ForwardRequest afterMs(long elapsedMs) {
        return new ForwardRequest(
                request.withRemainingMs(Math.max(0, request.remainingMs() - elapsedMs)), tableGeneration);
    }
}
