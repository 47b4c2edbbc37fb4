package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;

/** Refusal of a witness, or the time after which the taker may ask again. Immutable. */
public record RefusalAnswer(MemberId witness, boolean granted, long retryAfterMs) implements Message {}
