package org.coriandercrank.kernel.message;

import java.util.Optional;
import java.util.OptionalLong;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * Requests the state of a request id at an owner gate. If the gate has not seen the id, it rejects the id from then on.
 * Immutable.
 *
 * @param keyHash empty for an unkeyed service
 * @param sentAgoMs time in milliseconds since the request was sent to the gate, including time in which the sender was
 *     suspended; empty if the sender does not state it
 */
public record OutcomeQuery(RequestId requestId, ServiceName service, Optional<KeyHash> keyHash, OptionalLong sentAgoMs)
        implements Message {}
