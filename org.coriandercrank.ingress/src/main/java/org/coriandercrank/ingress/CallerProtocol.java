package org.coriandercrank.ingress;

import java.util.Optional;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerAnswer;

/** The HTTP protocol between callers and a daemon. Implementations must be thread safe and must not block. */
public interface CallerProtocol {
    /**
     * Parses a request.
     *
     * @param snapshot the configuration and routing state that the request is checked against
     * @return the request, or a refusal with the reason
     */
    ParsedRequest parse(HttpRequest request, RoutingSnapshot snapshot);

    /**
     * Renders an answer as an HTTP response.
     *
     * @param owner the member to which the request was sent last; empty if it was sent to none
     * @param closeConnection whether the response must ask the caller to close its connection
     */
    HttpResponse render(RequestId id, CallerAnswer answer, Optional<MemberId> owner, boolean closeConnection);
}
