package org.coriandercrank.standin.internal;

import java.util.List;
import java.util.Map;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.store.JsonCodec;

/** Creates HTTP responses of the stand-ins. Stateless. */
final class Responses {
    private static final String NOT_RUN_HEADER = "crank-not-run";
    private static final String REASON_HEADER = "crank-reason";

    private Responses() {}

    static HttpResponse json(int status, Object value) {
        return HttpResponse.json(status, JsonCodec.encode(value));
    }

    /** Returns the response to a rejected request, which had no effect and will have none. */
    static HttpResponse notRun(int status, String reason) {
        return new HttpResponse(
                status,
                List.of(
                        new Header("content-type", "application/json"),
                        new Header(NOT_RUN_HEADER, "true"),
                        new Header(REASON_HEADER, reason)),
                JsonCodec.encode(Map.of("reason", reason)));
    }
}
