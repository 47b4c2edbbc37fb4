package org.coriandercrank.http;

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
}
