package org.coriandercrank.http;

/** Tells whether a reply belongs to a call, for servers that may answer out of turn. Stateless. */
@FunctionalInterface
public interface ResponseMatcher {
    ResponseMatcher ACCEPT_ALL = (call, reply) -> true;

    /** A reply that does not belong to the call closes the connection, and the call fails as sent. */
    boolean matches(HttpRequest call, HttpResponse reply);
}
