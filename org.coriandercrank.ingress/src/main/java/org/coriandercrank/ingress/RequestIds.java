package org.coriandercrank.ingress;

import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.RequestId;

/**
 * Generates request ids, validates those of callers and derives the ids of further attempts. Thread safe.
 *
 * <p>The id of attempt n is derived from the request id alone. All daemons therefore derive the same id, and the gate
 * recognizes a copy of the request that arrives through another daemon. Ids of callers must not contain the separator,
 * so that a derived id never equals the id of another request.
 */
public final class RequestIds {
    private static final String ATTEMPT_SEPARATOR = "..";
    private static final int MAX_CALLER_ID_LENGTH = 112;
    private static final int RADIX = 36;

    private final String processPrefix = "g" + Long.toString(new SecureRandom().nextLong() >>> 1, RADIX) + "-";
    private final AtomicLong nextNumber = new AtomicLong();

    /** Generates an id that no other daemon generates: 63 random bits of this process, then a counter. */
    public RequestId generate() {
        return new RequestId(processPrefix + Long.toString(nextNumber.getAndIncrement(), RADIX));
    }

    /**
     * Parses the id that a caller sent.
     *
     * @throws CrankException with {@code BAD_REQUEST_ID} if the id is malformed, too long or contains the separator
     */
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

    /** Derives the id of an attempt. Attempt 1 has the id of the request. */
    public static RequestId forAttempt(RequestId id, int attempt) {
        return attempt == 1 ? id : new RequestId(id.value() + ATTEMPT_SEPARATOR + attempt);
    }
}
