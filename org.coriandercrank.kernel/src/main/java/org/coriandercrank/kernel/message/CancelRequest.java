package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.RequestId;

/** The caller went away or its deadline passed; no answer. Immutable. */
public record CancelRequest(RequestId requestId) implements Message {}
