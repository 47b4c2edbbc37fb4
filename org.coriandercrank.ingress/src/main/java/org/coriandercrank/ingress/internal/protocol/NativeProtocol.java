package org.coriandercrank.ingress.internal.protocol;

import java.util.Optional;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.ingress.CallerProtocol;
import org.coriandercrank.ingress.ParsedRequest;
import org.coriandercrank.ingress.RequestIds;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerAnswer;

/** The native caller protocol of this project, specified in {@code docs/PROTOCOL_CALLERS.md}. Thread safe. */
public final class NativeProtocol implements CallerProtocol {
    private final RequestParser parser;
    private final AnswerRenderer renderer;

    /** @param defaultRetryAfterMs {@code Retry-After} of refusals that state none */
    public NativeProtocol(RequestIds requestIds, long defaultRetryAfterMs) {
        parser = new RequestParser(requestIds);
        renderer = new AnswerRenderer(defaultRetryAfterMs);
    }

    @Override
    public ParsedRequest parse(HttpRequest request, RoutingSnapshot snapshot) {
        return parser.parse(request, snapshot);
    }

    @Override
    public HttpResponse render(RequestId id, CallerAnswer answer, Optional<MemberId> owner, boolean closeConnection) {
        return renderer.render(id, answer, owner, closeConnection);
    }
}
