package org.coriandercrank.ingress.internal.routing;

import java.util.Optional;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.request.CallerAnswer;

/**
 * Final answer of a dispatched request. Immutable.
 *
 * @param owner the member to which the last attempt was sent; empty if none was sent
 */
public record DispatchResult(CallerAnswer answer, Optional<MemberId> owner) {}
