package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.request.CallerRequest;

/** A caller's request for the owner gate of another daemon. Immutable. */
public record ForwardRequest(CallerRequest request, Generation tableGeneration) implements Message {}
