package org.coriandercrank.adapters.internal;

import java.util.Optional;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.http.ResponseMatcher;

/**
 * Recognizes the responses of a backend server by the request id that they repeat. A faulty server may send a response a
 * second time, at the place of the response to a later request. A response without an id is accepted, because servers
 * need not repeat it. Stateless and thread safe.
 */
public final class RequestIdMatcher implements ResponseMatcher {
    @Override
    public boolean matches(HttpRequest request, HttpResponse response) {
        Optional<String> repeatedId = response.header(BackendResponses.REQUEST_ID);
        return repeatedId.isEmpty() || repeatedId.equals(request.header(BackendResponses.REQUEST_ID));
    }

    /**
     * A request that was refused for its range is sent again under its id once the server holds the range, so that a
     * second copy of the refusal would match that.
     */
    @Override
    public boolean isConnectionReusable(HttpResponse response) {
        return !BackendResponses.isRangeRefusal(response);
    }
}
