package org.coriandercrank.ingress;

import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.RequestId;

/**
 * Request ids: those of callers, generated ones, and the ids of further attempts.
 *
 * <p>The id of attempt n is a function of the caller's id, so that each daemon derives the same one and the records of
 * the gate recognise a copy sent through another daemon. Callers' ids must not contain the separator; so a derived id
 * never equals the id of another request. Thread safe.
 */
public final class RequestIds {
    private static final String ATTEMPT_SEPARATOR = "..";
    private static final int MAX_CALLER_ID_LENGTH = 112;
    private static final int RADIX = 36;

    private final String prefix = "g" + Long.toString(new SecureRandom().nextLong() >>> 1, RADIX) + "-";
    private final AtomicLong next = new AtomicLong();

    /** An id that no other daemon generates: 63 random bits for the process and a counter. */
    public RequestId generate() {
        return new RequestId(prefix + Long.toString(next.getAndIncrement(), RADIX));
    }

    /** Fails with {@code BAD_REQUEST_ID}. */
    public static RequestId parse(String text) {
        if (text.length() > MAX_CALLER_ID_LENGTH || text.contains(ATTEMPT_SEPARATOR)) {
            throw new CrankException(
                    ResultCode.BAD_REQUEST_ID,
                    "Crank-Request-Id: must have at most " + MAX_CALLER_ID_LENGTH
                            + " characters and no two dots in a row");
        }
        try {
            return new RequestId(text);
        } catch (IllegalArgumentException e) {
            throw new CrankException(ResultCode.BAD_REQUEST_ID, "Crank-Request-Id: " + e.getMessage(), e);
        }
    }

    /** The id of an attempt; attempt 1 has the id of the request. */
    public static RequestId forAttempt(RequestId id, int attempt) {
        return attempt == 1 ? id : new RequestId(id.value() + ATTEMPT_SEPARATOR + attempt);
    }
}
