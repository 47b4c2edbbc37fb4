package org.coriandercrank.kernel.message;

import java.util.Optional;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.ServiceName;

/** Asks what became of a request id and bars the id if it was not seen. Immutable. */
public record OutcomeQuery(RequestId requestId, ServiceName service, Optional<KeyHash> keyHash) implements Message {}
