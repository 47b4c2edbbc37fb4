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

    /** A refusal without an id would match each later request. */
    @Override
    public boolean isConnectionReusable(HttpResponse response) {
        return !isRefusal(response)
                || response.header(BackendResponses.REQUEST_ID).isPresent();
    }

    @Override
    public Optional<String> requestId(HttpRequest request) {
        return request.header(BackendResponses.REQUEST_ID);
    }

    @Override
    public boolean isRefusal(HttpResponse response) {
        return BackendResponses.isNotRun(response);
    }
}
