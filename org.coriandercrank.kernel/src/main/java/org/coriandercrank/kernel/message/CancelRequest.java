package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.RequestId;

/** Cancels a forwarded request because its caller disconnected or its deadline passed. Has no answer. Immutable. */
public record CancelRequest(RequestId requestId) implements Message {}
