package org.coriandercrank.standin.internal;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.time.TimerService.Subscription;

/**
 * A request at the backend server, from arrival to response. Not thread safe; confined to the executor of the server.
 */
final class BackendRequest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long MAX_DEADLINE_MS = 86_400_000;

    final RequestId id;
    final Optional<Key> key;
    final Generation fence;
    final HttpRequest httpRequest;
    final CompletableFuture<HttpResponse> response;
    /** Time from arrival to the deadline; empty if the request has no deadline. */
    final Optional<Long> deadlineMs;

    /** Deadline on the clock of the server; {@link Long#MAX_VALUE} if the request has none. */
    final long deadlineNanos;

    /** Whether the request has taken effect or was rejected. */
    boolean done;
    /** Whether the request occupies or has occupied a slot. */
    boolean hasOccupiedSlot;

    long startOrder;
    long startNanos;
    long startWallMs;
    Subscription deadlineTimer = () -> {};

    /**
     * Parses the request headers of the protocol.
     *
     * @throws IllegalArgumentException if one of them is malformed, or if the request id is missing
     */
    BackendRequest(HttpRequest httpRequest, long nowNanos, CompletableFuture<HttpResponse> response) {
        this.httpRequest = httpRequest;
        this.response = response;
        id = new RequestId(httpRequest.header("crank-request-id").orElseThrow(IllegalArgumentException::new));
        key = httpRequest.header("crank-key").map(BackendRequest::decodeKey).map(Key::new);
        fence = new Generation(
                httpRequest.header("crank-fence").map(Long::parseLong).orElse(0L));
        deadlineMs =
                httpRequest.header("crank-deadline-ms").map(Long::parseLong).map(ms -> Math.min(ms, MAX_DEADLINE_MS));
        deadlineNanos = deadlineMs.map(ms -> nowNanos + ms * NANOS_PER_MS).orElse(Long.MAX_VALUE);
    }

    private static String decodeKey(String text) {
        return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
    }

    /**
     * Returns the name under which the value is stored: the key, or the path without query for a request without key.
     */
    String valueName() {
        return key.map(Key::value).orElseGet(httpRequest::path);
    }

    boolean isDeadlineExpired(long nowNanos) {
        return deadlineMs.isPresent() && nowNanos - deadlineNanos >= 0;
    }
}
