package org.coriandercrank.kernel.request;

import java.util.Optional;
import org.coriandercrank.kernel.id.IdempotencyKey;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;

/**
 * Final answer of an admitted request, kept so that a repeat is answered without a second execution. Immutable.
 *
 * @param requestDigest hash over method, path and body, to recognise an idempotency key used for another request
 * @param ageMs time since the record was made
 */
public record OutcomeRecord(
        RequestId requestId,
        Optional<IdempotencyKey> idempotencyKey,
        KeyHash keyHash,
        long requestDigest,
        CallerAnswer answer,
        long ageMs) {}
