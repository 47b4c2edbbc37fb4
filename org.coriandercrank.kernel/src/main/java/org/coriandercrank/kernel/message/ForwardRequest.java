package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.request.CallerRequest;

/**
 * Forwards a request to the owner gate of another daemon. Immutable.
 *
 * @param tableGeneration generation of the assignment table that the sender uses
 */
public record ForwardRequest(CallerRequest request, Generation tableGeneration) implements Message {}
