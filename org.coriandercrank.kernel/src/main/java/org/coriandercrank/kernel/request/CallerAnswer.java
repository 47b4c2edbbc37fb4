package org.coriandercrank.kernel.request;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;

/**
 * Final answer to a request of a caller.
 *
 * <p>Immutable by convention: the body array is not changed after construction. With {@link ResultCode#OK}, status,
 * headers and body are those of the backend server.
 *
 * @param retryAfterMs time in milliseconds after which the caller may retry; empty if a retry is not advised
 */
public record CallerAnswer(
        ResultCode code, Outcome outcome, int status, List<Header> headers, byte[] body, OptionalLong retryAfterMs) {
    public CallerAnswer {
        headers = List.copyOf(headers);
        if (code == ResultCode.OK && outcome != Outcome.RUN) {
            throw new IllegalArgumentException("result code OK requires the outcome RUN, got " + outcome);
        }
    }

    /** Answer of a backend server that executed the request. */
    public static CallerAnswer executed(int status, List<Header> headers, byte[] body) {
        return new CallerAnswer(ResultCode.OK, Outcome.RUN, status, headers, body, OptionalLong.empty());
    }

    /** An answer that the system itself generates, with the outcome of the result code. */
    public static CallerAnswer of(ResultCode code, String detail) {
        return of(code, detail, OptionalLong.empty());
    }

    /** An answer that the system itself generates and that states when to retry. */
    public static CallerAnswer retryLater(ResultCode code, String detail, long retryAfterMs) {
        return of(code, detail, OptionalLong.of(retryAfterMs));
    }

    private static CallerAnswer of(ResultCode code, String detail, OptionalLong retryAfterMs) {
        byte[] text = detail.getBytes(StandardCharsets.UTF_8);
        List<Header> headers = List.of(new Header("content-type", "text/plain; charset=utf-8"));
        return new CallerAnswer(code, code.outcome(), code.httpStatus(), headers, text, retryAfterMs);
    }
}
