package org.coriandercrank.kernel.code;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Numbered result codes, listed in {@code docs/RESULT_CODES.md}. A number is never reused for another meaning.
 *
 * <p>The HTTP status is sent when the system itself generates the response; a response with {@link #OK} carries the
 * status of the backend server.
 */
public enum ResultCode {
    OK(0, 200, Outcome.RUN, "executed; the status is that of the backend server"),

    BAD_REQUEST(100, 400, Outcome.NOT_RUN, "the request is not valid HTTP or lacks a required field"),
    UNKNOWN_SERVICE(101, 404, Outcome.NOT_RUN, "the configuration has no such service"),
    MALFORMED_KEY(102, 400, Outcome.NOT_RUN, "the key is empty, too long or has control characters"),
    BODY_TOO_LARGE(103, 413, Outcome.NOT_RUN, "the body exceeds the limit of the service"),
    HEADER_TOO_LARGE(104, 431, Outcome.NOT_RUN, "a header or the request line exceeds its limit"),
    BAD_DEADLINE(105, 400, Outcome.NOT_RUN, "Crank-Deadline-Ms is not a number in the allowed range"),
    METHOD_NOT_ALLOWED(106, 405, Outcome.NOT_RUN, "the service does not allow the method"),
    BAD_IDEMPOTENCY_KEY(107, 400, Outcome.NOT_RUN, "Idempotency-Key or Crank-Key-Age-Ms is malformed"),
    IDEMPOTENCY_KEY_REUSED(108, 422, Outcome.NOT_RUN, "the key was used before for a different request"),
    BAD_REQUEST_ID(109, 400, Outcome.NOT_RUN, "Crank-Request-Id is malformed"),
    UNKNOWN_ROUTE(110, 404, Outcome.NOT_RUN, "the configuration has no route for the host and path"),

    OVERLOADED(200, 503, Outcome.NOT_RUN, "the queue of the backend server is full"),
    NO_OWNER(201, 503, Outcome.NOT_RUN, "no server owns the key at present"),
    OWNER_UNREACHABLE(202, 503, Outcome.NOT_RUN, "the daemon of the owner cannot be reached"),
    NOT_OWNER(203, 503, Outcome.NOT_RUN, "the daemon that received the request does not own the key"),
    LEASE_LAPSED(204, 503, Outcome.NOT_RUN, "the owner has no valid lease"),
    RANGE_MOVING(205, 503, Outcome.NOT_RUN, "the range is being moved to another server"),
    DRAINING(206, 503, Outcome.NOT_RUN, "the server is draining and accepts no new requests"),
    DEADLINE_EXPIRED(207, 504, Outcome.NOT_RUN, "the deadline passed before the request was sent to a server"),
    CANCELLED(208, 499, Outcome.NOT_RUN, "the caller cancelled before the request was sent to a server"),
    BACKEND_UNAVAILABLE(209, 503, Outcome.NOT_RUN, "the backend server cannot be reached or refused the request"),
    STARTING(210, 503, Outcome.NOT_RUN, "the daemon has no configuration or table yet"),
    KEY_SHARE_EXCEEDED(211, 429, Outcome.NOT_RUN, "the key uses more than its share of the server"),
    BARRED(212, 409, Outcome.NOT_RUN, "the request id was barred by an outcome query"),
    DUPLICATE_RUNNING(213, 409, Outcome.UNKNOWN, "a request with the same id or idempotency key is running"),
    FENCE_REJECTED(214, 503, Outcome.NOT_RUN, "the backend server rejected the fencing token"),
    RETRY_BUDGET_EXHAUSTED(215, 503, Outcome.NOT_RUN, "too many retries at this daemon"),
    QUARANTINED(216, 503, Outcome.NOT_RUN, "servers crashed each time they ran the request; it is not sent to more"),
    CONFIGURATION_UNCONFIRMED(217, 503, Outcome.NOT_RUN, "the daemon cannot tell whether its configuration is current"),
    REGION_NOT_ALLOWED(218, 503, Outcome.NOT_RUN, "no server in the regions allowed for the request can take it"),

    OUTCOME_UNKNOWN(300, 504, Outcome.UNKNOWN, "the request was sent to a server and its answer was lost"),
    DEADLINE_EXPIRED_RUNNING(301, 504, Outcome.UNKNOWN, "the deadline passed while a server had the request"),
    RECORD_LOST(302, 409, Outcome.UNKNOWN, "the idempotency key may be older than the records of the owner"),
    CANCELLED_RUNNING(303, 499, Outcome.UNKNOWN, "the caller cancelled while a server had the request"),

    NOTE_UNREADABLE(400, 400, Outcome.NOT_RUN, "the release note is not JSON of the documented format"),
    NOTE_INVALID(401, 422, Outcome.NOT_RUN, "the release note has errors; each is listed"),
    NOTE_CONFLICT(402, 409, Outcome.NOT_RUN, "the configuration changed since the revision the note is based on"),
    NOTE_NOT_IN_FORCE(403, 504, Outcome.UNKNOWN, "accepted, but not active on all daemons within the timeout"),
    NOTE_ID_REUSED(404, 409, Outcome.NOT_RUN, "the note id was used before for a different note"),

    SETTING_INVALID(500, 400, Outcome.NOT_RUN, "a setting is missing, malformed or out of range"),

    STORE_UNAVAILABLE(600, 503, Outcome.NOT_RUN, "the object store is unavailable; the call had no effect"),
    REVISION_CONFLICT(601, 409, Outcome.NOT_RUN, "the object has another revision than expected"),
    WRITE_UNANSWERED(602, 504, Outcome.UNKNOWN, "a write was sent to the object store and its answer was lost"),
    STORE_MALFORMED(603, 500, Outcome.NOT_RUN, "an object or answer of the store cannot be read"),

    FRAME_MALFORMED(700, 400, Outcome.NOT_RUN, "a frame between daemons cannot be read"),
    LINK_LOST(701, 503, Outcome.UNKNOWN, "the connection to a daemon was lost while a call was outstanding"),
    PEER_UNREACHABLE(702, 503, Outcome.NOT_RUN, "no connection to a daemon could be opened; the call was not sent"),
    CALL_TIMEOUT(703, 504, Outcome.UNKNOWN, "a daemon did not answer a call in time"),
    WRONG_MEMBER(704, 409, Outcome.NOT_RUN, "the address belongs to another member than expected"),
    UNSUPPORTED_MESSAGE(705, 400, Outcome.NOT_RUN, "the daemon has no handler for the message"),

    INTERNAL(900, 500, Outcome.UNKNOWN, "an unexpected error; the log of the daemon has the cause");

    private static final Map<Integer, ResultCode> BY_NUMBER =
            Arrays.stream(values()).collect(Collectors.toUnmodifiableMap(ResultCode::number, Function.identity()));

    private final int number;
    private final int httpStatus;
    private final Outcome outcome;
    private final String description;

    ResultCode(int number, int httpStatus, Outcome outcome, String description) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.outcome = outcome;
        this.description = description;
    }

    /** The code with the given number, or empty if there is none. */
    public static Optional<ResultCode> ofNumber(int number) {
        return Optional.ofNullable(BY_NUMBER.get(number));
    }

    public int number() {
        return number;
    }

    public int httpStatus() {
        return httpStatus;
    }

    public Outcome outcome() {
        return outcome;
    }

    public String description() {
        return description;
    }

    /** Whether the same request may succeed later without a change by the caller: the codes from 200 to 299. */
    public boolean isRetryable() {
        return number >= 200 && number < 300;
    }
}
