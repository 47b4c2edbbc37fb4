package org.coriandercrank.ingress.internal.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.Header;

/**
 * Renders answers to callers as HTTP responses. Thread safe.
 *
 * <p>Header fields of a backend server whose name starts with {@code crank-} are dropped, so that result codes and
 * outcomes always come from a daemon.
 */
public final class AnswerRenderer {
    private static final String RESERVED_PREFIX = "crank-";
    private static final String RETRY_AFTER_HEADER = "retry-after";
    private static final long MS_PER_SECOND = 1_000;
    private static final ObjectMapper OBJECT_MAPPER = new ObjectMapper();

    private final long defaultRetryAfterMs;

    /** JSON body of an answer that a daemon gives itself. */
    private record ErrorBody(int code, String name, String outcome, String detail, String requestId) {}

    public AnswerRenderer(long defaultRetryAfterMs) {
        this.defaultRetryAfterMs = defaultRetryAfterMs;
    }

    /**
     * Renders an answer.
     *
     * @param owner the member to which the request was sent last; empty if it was sent to none
     * @param closeConnection whether the response must ask the caller to close its connection and use another daemon
     */
    public HttpResponse render(RequestId id, CallerAnswer answer, Optional<MemberId> owner, boolean closeConnection) {
        boolean executed = answer.code() == ResultCode.OK;
        List<Header> headers = new ArrayList<>();
        if (executed) {
            answer.headers().stream()
                    .filter(h -> !h.name().startsWith(RESERVED_PREFIX))
                    .forEach(headers::add);
        } else {
            headers.add(new Header("content-type", "application/json"));
        }
        headers.add(new Header("crank-result", Integer.toString(answer.code().number())));
        headers.add(new Header("crank-outcome", answer.outcome().headerValue()));
        headers.add(new Header("crank-request-id", id.value()));
        owner.ifPresent(member -> headers.add(new Header("crank-owner", member.value())));
        if (answer.code() == ResultCode.METHOD_NOT_ALLOWED) {
            headers.add(new Header("allow", "GET, HEAD, POST, PUT, PATCH, DELETE"));
        }
        if (closeConnection) {
            headers.add(new Header("connection", "close"));
        }
        retryAfterMs(answer).ifPresent(ms -> {
            long seconds = Math.max(1, (ms + MS_PER_SECOND - 1) / MS_PER_SECOND);
            headers.removeIf(h -> h.name().equals(RETRY_AFTER_HEADER));
            headers.add(new Header(RETRY_AFTER_HEADER, Long.toString(seconds)));
            headers.add(new Header("crank-retry-after-ms", Long.toString(ms)));
        });
        return new HttpResponse(answer.status(), headers, executed ? answer.body() : errorBody(id, answer));
    }

    private OptionalLong retryAfterMs(CallerAnswer answer) {
        if (answer.retryAfterMs().isPresent() || !answer.code().isRetryable()) {
            return answer.retryAfterMs();
        }
        return OptionalLong.of(defaultRetryAfterMs);
    }

    private static byte[] errorBody(RequestId id, CallerAnswer answer) {
        ErrorBody body = new ErrorBody(
                answer.code().number(),
                answer.code().name(),
                answer.outcome().headerValue(),
                new String(answer.body(), StandardCharsets.UTF_8),
                id.value());
        try {
            return OBJECT_MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize an error body", e);
        }
    }
}
