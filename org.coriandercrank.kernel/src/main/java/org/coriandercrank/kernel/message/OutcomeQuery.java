package org.coriandercrank.kernel.message;

import java.util.Optional;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * Requests the state of a request id at an owner gate. If the gate has not seen the id, it rejects the id from then on.
 * Immutable.
 *
 * @param keyHash empty for an unkeyed service
 */
public record OutcomeQuery(RequestId requestId, ServiceName service, Optional<KeyHash> keyHash) implements Message {}
