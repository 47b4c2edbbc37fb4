package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;

/**
 * Answer of a witness to a {@link RefusalRequest}. Immutable.
 *
 * @param granted whether the witness refuses the member from now on
 * @param retryAfterMs if not granted, time in milliseconds after which the sender may repeat its request
 */
public record RefusalAnswer(MemberId witness, boolean granted, long retryAfterMs) implements Message {}
