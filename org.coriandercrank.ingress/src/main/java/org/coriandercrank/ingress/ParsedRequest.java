package org.coriandercrank.ingress;

import java.util.Optional;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;

/**
 * Result of parsing: either a request with the configuration of its service, or a refusal. Immutable.
 *
 * @param id the request id of the caller, or a generated one if the caller sent none or a malformed one
 */
public record ParsedRequest(RequestId id, Optional<Accepted> accepted, Optional<CallerAnswer> refusal) {
    /** A well-formed request and the configuration of its service. Immutable. */
    public record Accepted(CallerRequest request, ServiceConfig service) {}

    public ParsedRequest {
        if (accepted.isPresent() == refusal.isPresent()) {
            throw new IllegalArgumentException("a parsed request must be either accepted or refused");
        }
    }

    public static ParsedRequest accepted(CallerRequest request, ServiceConfig service) {
        return new ParsedRequest(request.id(), Optional.of(new Accepted(request, service)), Optional.empty());
    }

    public static ParsedRequest refused(RequestId id, CallerAnswer refusal) {
        return new ParsedRequest(id, Optional.empty(), Optional.of(refusal));
    }
}
