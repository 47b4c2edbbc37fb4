package org.coriandercrank.kernel.request;

import java.util.Optional;
import org.coriandercrank.kernel.id.IdempotencyKey;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;

/**
 * Final answer of an admitted request. The gate keeps it to answer a repeated request without executing it again.
 * Immutable.
 *
 * @param requestDigest hash of method, path and body; detects an idempotency key that is reused for a different request
 * @param ageMs age of the record in milliseconds
 */
public record OutcomeRecord(
        RequestId requestId,
        Optional<IdempotencyKey> idempotencyKey,
        KeyHash keyHash,
        long requestDigest,
        CallerAnswer answer,
        long ageMs) {}
