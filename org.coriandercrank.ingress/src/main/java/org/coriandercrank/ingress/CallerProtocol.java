package org.coriandercrank.ingress;

import java.util.Optional;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerAnswer;

/** How callers write requests and read answers. Implementations are thread safe and do not block. */
public interface CallerProtocol {
    /** Reads a request, or says why it cannot be taken. */
    ParsedRequest parse(HttpRequest call, RoutingSnapshot snapshot);

    /**
     * Writes an answer.
     *
     * @param owner the member that answered, if the request reached one
     * @param closeConnection whether the caller should open a new connection
     */
    HttpResponse render(RequestId id, CallerAnswer answer, Optional<MemberId> owner, boolean closeConnection);
}
