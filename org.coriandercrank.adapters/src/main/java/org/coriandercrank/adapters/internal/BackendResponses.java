package org.coriandercrank.adapters.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.http.HttpClientException;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.store.JsonCodec;

/**
 * Maps HTTP responses and failures of a backend server to result codes. Stateless.
 *
 * <p>A call is reported as not executed only if it was not sent, or if the response has the header
 * {@code Crank-Not-Run}.
 */
public final class BackendResponses {
    public static final String REQUEST_ID = "crank-request-id";
    public static final String KEY = "crank-key";
    public static final String FENCE = "crank-fence";
    public static final String DEADLINE_MS = "crank-deadline-ms";

    /** Headers that only the adapter sets; they are removed from requests of callers. */
    public static final Set<String> REQUEST_HEADERS = Set.of(REQUEST_ID, KEY, FENCE, DEADLINE_MS);

    private static final String NOT_RUN = "crank-not-run";
    private static final String REASON = "crank-reason";
    private static final String FENCE_REASON = "fence";
    private static final String RANGE_REASON = "range";
    private static final String VALIDITY_REASON = "validity";

    /** Statuses with which a server or a proxy in front of it reports that it has no result of the call. */
    private static final Set<Integer> GATEWAY_ERROR_STATUSES = Set.of(502, 503, 504);

    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_FINAL_STATUS = 599;
    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;

    private BackendResponses() {}

    /** Converts the response to a request into an answer, or its failure into a result code. */
    public static CompletableFuture<CallerAnswer> toAnswer(
            RequestId id, CompletableFuture<HttpResponse> responseFuture) {
        return responseFuture.handle((response, failure) -> {
            if (failure != null) {
                throw failure(id.value(), failure);
            }
            if (isNotRun(response)) {
                throw rejection(id, response);
            }
            if (response.status() < MIN_FINAL_STATUS
                    || response.status() > MAX_FINAL_STATUS
                    || GATEWAY_ERROR_STATUSES.contains(response.status())) {
                throw new CrankException(
                        ResultCode.OUTCOME_UNKNOWN, id + ": backend server responded with status " + response.status());
            }
            List<Header> headers = response.headers().stream()
                    .filter(header -> !header.name().equals(REQUEST_ID))
                    .toList();
            return CallerAnswer.executed(response.status(), headers, response.body());
        });
    }

    /** Whether the server states that it did not execute a request. */
    static boolean isNotRun(HttpResponse response) {
        return response.header(NOT_RUN).filter("true"::equals).isPresent();
    }

    private static CrankException rejection(RequestId id, HttpResponse response) {
        String reason = response.header(REASON).orElse("none");
        ResultCode code = switch (reason) {
            case FENCE_REASON, RANGE_REASON, VALIDITY_REASON -> ResultCode.FENCE_REJECTED;
            case "overload" -> ResultCode.OVERLOADED;
            case "deadline" -> ResultCode.DEADLINE_EXPIRED;
            default -> ResultCode.BACKEND_UNAVAILABLE;
        };
        return new CrankException(code, id + ": backend server did not execute the request, reason " + reason);
    }

    /** Converts the failure of a control call into a result code that states whether the call was sent. */
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

    /** Returns the sequence in the response to a grant that was accepted (200) or rejected as outdated (409). */
    public static long grantSequence(HttpResponse response) {
        if (response.status() != STATUS_CONFLICT) {
            requireOk(response);
        }
        JsonNode sequence = JsonCodec.decode(response.body(), JsonNode.class).path("sequence");
        if (!sequence.isIntegralNumber()) {
            throw new CrankException(ResultCode.OUTCOME_UNKNOWN, "response to a grant has no sequence");
        }
        return sequence.asLong();
    }

    /** Throws unless the server accepted a control call. */
    public static void requireOk(HttpResponse response) {
        if (response.status() != STATUS_OK) {
            throw new CrankException(
                    isNotRun(response) ? ResultCode.BACKEND_UNAVAILABLE : ResultCode.OUTCOME_UNKNOWN,
                    "response to a control call has status " + response.status());
        }
    }
}
