package org.coriandercrank.adapters.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.http.HttpClientException;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.store.JsonCodec;

/**
 * Maps answers and failures of a backend server to result codes. Stateless.
 *
 * <p>A call is reported as not executed only if it was not sent or the server said so in {@code Crank-Not-Run}.
 */
public final class BackendResponses {
    public static final String REQUEST_ID = "crank-request-id";
    public static final String KEY = "crank-key";
    public static final String FENCE = "crank-fence";
    public static final String DEADLINE_MS = "crank-deadline-ms";

    /** Headers that the adapter sets and a caller cannot. */
    public static final Set<String> REQUEST_HEADERS = Set.of(REQUEST_ID, KEY, FENCE, DEADLINE_MS);

    private static final String NOT_RUN = "crank-not-run";
    private static final String REASON = "crank-reason";

    /** Statuses by which a server or something in front of it says that it has no result of the call. */
    private static final Set<Integer> GATEWAY_ERROR_STATUSES = Set.of(502, 503, 504);

    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_FINAL_STATUS = 599;

    private BackendResponses() {}

    /** Outcome of an execution. */
    public static CompletableFuture<CallerAnswer> toAnswer(
            RequestId id, CompletableFuture<HttpResponse> responseFuture) {
        return responseFuture.handle((response, failure) -> {
            if (failure != null) {
                throw failure(id.value(), failure);
            }
            if (response.header(NOT_RUN).filter("true"::equals).isPresent()) {
                throw rejection(id, response);
            }
            if (response.status() < MIN_FINAL_STATUS
                    || response.status() > MAX_FINAL_STATUS
                    || GATEWAY_ERROR_STATUSES.contains(response.status())) {
                throw new CrankException(
                        ResultCode.OUTCOME_UNKNOWN, id + ": backend server answered " + response.status());
            }
            return CallerAnswer.executed(response.status(), response.headers(), response.body());
        });
    }

    private static CrankException rejection(RequestId id, HttpResponse response) {
        String reason = response.header(REASON).orElse("none");
        ResultCode code = switch (reason) {
            case "fence", "range", "validity" -> ResultCode.FENCE_REJECTED;
            case "overload" -> ResultCode.OVERLOADED;
            case "deadline" -> ResultCode.DEADLINE_EXPIRED;
            default -> ResultCode.BACKEND_UNAVAILABLE;
        };
        return new CrankException(code, id + ": backend server did not execute, reason " + reason);
    }

    /** Answer of a control call; its failures tell whether the call was sent. */
    public static CompletableFuture<HttpResponse> requireResponse(CompletableFuture<HttpResponse> responseFuture) {
        return responseFuture.handle((response, failure) -> {
            if (failure != null) {
                throw failure("control call", failure);
            }
            return response;
        });
    }

    private static CrankException failure(String subject, Throwable failure) {
        boolean notSent = HttpClientException.isNotSent(failure);
        return new CrankException(
                notSent ? ResultCode.BACKEND_UNAVAILABLE : ResultCode.OUTCOME_UNKNOWN,
                subject + ": " + failure.getMessage(),
                failure);
    }

    /** Sequence in the answer to a grant, accepted (200) or rejected as old (409). */
    public static long grantSequence(HttpResponse response) {
        if (response.status() != 409) {
            requireOk(response);
        }
        JsonNode sequence = JsonCodec.decode(response.body(), JsonNode.class).path("sequence");
        if (!sequence.isIntegralNumber()) {
            throw new CrankException(ResultCode.OUTCOME_UNKNOWN, "answer to a grant has no sequence");
        }
        return sequence.asLong();
    }

    /** Fails unless the server accepted a control call. */
    public static void requireOk(HttpResponse response) {
        if (response.status() != 200) {
            boolean notRun = response.header(NOT_RUN).filter("true"::equals).isPresent();
            throw new CrankException(
                    notRun ? ResultCode.BACKEND_UNAVAILABLE : ResultCode.OUTCOME_UNKNOWN,
                    "control call answered with status " + response.status());
        }
    }
}
