package org.coriandercrank.http;

import java.util.Optional;

/**
 * Checks whether a response belongs to a request, for servers that may send the response to another request. Must be
 * thread safe.
 */
@FunctionalInterface
public interface ResponseMatcher {
    ResponseMatcher ACCEPT_ALL = (request, response) -> true;

    /**
     * Whether the response belongs to the request. If not, the client closes the connection and fails the request with
     * {@link HttpClientException.Stage#SENT}.
     */
    boolean matches(HttpRequest request, HttpResponse response);

    /**
     * Whether the connection can be used again after a response. It must not be if a second copy of the response, which
     * may arrive late, would match a later request.
     */
    default boolean isConnectionReusable(HttpResponse response) {
        return true;
    }

    /** The id by which the server names a request in its responses; empty if it has none. */
    default Optional<String> requestId(HttpRequest request) {
        return Optional.empty();
    }

    /**
     * Whether the response is a refusal, after which the request may be sent again under its id. The client does not send
     * it on the same connection again, because a second copy of the refusal would match it.
     */
    default boolean isRefusal(HttpResponse response) {
        return false;
    }
}
