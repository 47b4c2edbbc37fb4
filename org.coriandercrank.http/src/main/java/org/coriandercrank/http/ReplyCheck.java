package org.coriandercrank.http;

/** Tells whether a reply belongs to a call, for servers that may answer out of turn. Stateless. */
@FunctionalInterface
public interface ReplyCheck {
    ReplyCheck ANY = (call, reply) -> true;

    /** A reply that does not belong to the call closes the connection, and the call fails as sent. */
    boolean belongsTo(HttpCall call, HttpReply reply);
}
