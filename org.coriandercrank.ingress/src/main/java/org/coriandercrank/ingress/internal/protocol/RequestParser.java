package org.coriandercrank.ingress.internal.protocol;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.ingress.ParsedRequest;
import org.coriandercrank.ingress.RequestIds;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.IdempotencyKey;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.request.Header;

/**
 * Parses an HTTP request into a {@link CallerRequest}. Thread safe.
 *
 * <p>The detail of each refusal starts with the name of the invalid field. Header fields whose name starts with
 * {@code crank-} are not forwarded, so that a caller cannot set fields that are reserved for the backend protocol, such
 * as the fencing token.
 */
public final class RequestParser {
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");
    private static final String PATH_PREFIX = "/v1/";
    private static final String RESERVED_PREFIX = "crank-";
    private static final String SERVICE_HEADER = "crank-service";
    private static final String KEY_HEADER = "crank-key";
    private static final String DEADLINE_HEADER = "crank-deadline-ms";
    private static final String REQUEST_ID_HEADER = "crank-request-id";
    private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";
    private static final String KEY_AGE_HEADER = "crank-key-age-ms";

    private final RequestIds requestIds;

    public RequestParser(RequestIds requestIds) {
        this.requestIds = requestIds;
    }

    /** Service and key of a request as the caller wrote them; the key is still percent-encoded. */
    private record Address(String service, Optional<String> key) {}

    /** Parses a request and checks it against the configuration. */
    public ParsedRequest parse(HttpRequest httpRequest, RoutingSnapshot snapshot) {
        RequestId id;
        try {
            id = singleHeader(httpRequest, REQUEST_ID_HEADER, ResultCode.BAD_REQUEST_ID)
                    .map(RequestIds::parse)
                    .orElseGet(requestIds::generate);
        } catch (CrankException e) {
            return ParsedRequest.refused(requestIds.generate(), CallerAnswer.of(e.code(), e.getMessage()));
        }
        if (snapshot.configurationRevision().equals(Revision.NONE)) {
            return ParsedRequest.refused(
                    id, CallerAnswer.of(ResultCode.STARTING, "this daemon has no configuration yet"));
        }
        try {
            return parse(id, httpRequest, snapshot);
        } catch (CrankException e) {
            return ParsedRequest.refused(id, CallerAnswer.of(e.code(), e.getMessage()));
        }
    }

    private static ParsedRequest parse(RequestId id, HttpRequest httpRequest, RoutingSnapshot snapshot) {
        Address address = parseAddress(httpRequest);
        ServiceConfig service = findService(address.service(), snapshot);
        if (!METHODS.contains(httpRequest.method())) {
            throw new CrankException(
                    ResultCode.METHOD_NOT_ALLOWED, "method: " + printable(httpRequest.method()) + " is not allowed");
        }
        Optional<Key> key = service.keyed() ? Optional.of(parseKey(address)) : Optional.empty();
        if (!service.keyed() && httpRequest.header(KEY_HEADER).isPresent()) {
            throw new CrankException(ResultCode.BAD_REQUEST, "Crank-Key: the service is not keyed");
        }
        if (httpRequest.body().length > service.maxBodyBytes()) {
            throw new CrankException(
                    ResultCode.BODY_TOO_LARGE,
                    "body: has " + httpRequest.body().length + " bytes, at most " + service.maxBodyBytes()
                            + " are allowed");
        }
        long deadlineMs = singleHeader(httpRequest, DEADLINE_HEADER, ResultCode.BAD_DEADLINE)
                .map(text ->
                        parseNumber(ResultCode.BAD_DEADLINE, "Crank-Deadline-Ms", text, 1, service.maxDeadlineMs()))
                .orElse((long) service.defaultDeadlineMs());
        Optional<IdempotencyKey> idempotencyKey = parseIdempotencyKey(httpRequest);
        OptionalLong keyAgeMs = parseKeyAgeMs(httpRequest, idempotencyKey.isPresent());
        List<Header> forwardedHeaders = httpRequest.headers().stream()
                .filter(h -> !h.name().startsWith(RESERVED_PREFIX))
                .toList();
        CallerRequest request = new CallerRequest(
                id,
                service.name(),
                key,
                httpRequest.method(),
                httpRequest.target(),
                forwardedHeaders,
                httpRequest.body(),
                deadlineMs,
                idempotencyKey,
                keyAgeMs,
                Optional.empty(),
                Optional.of(fingerprint(httpRequest, service, key)));
        return ParsedRequest.accepted(request, service);
    }

    /** Covers the service and key too, which a caller may state in headers. Callers have no identity in this protocol. */
    private static RequestFingerprint fingerprint(HttpRequest httpRequest, ServiceConfig service, Optional<Key> key) {
        return RequestFingerprint.of(
                "",
                List.of(
                        httpRequest.method(),
                        httpRequest.target(),
                        service.name().value(),
                        key.map(Key::value).orElse("")),
                httpRequest.body());
    }

    private static Address parseAddress(HttpRequest httpRequest) {
        if (!httpRequest.target().startsWith("/")) {
            throw new CrankException(ResultCode.BAD_REQUEST, "path: must start with a slash");
        }
        Optional<String> service = singleHeader(httpRequest, SERVICE_HEADER, ResultCode.BAD_REQUEST);
        if (service.isPresent()) {
            return new Address(service.get(), singleHeader(httpRequest, KEY_HEADER, ResultCode.MALFORMED_KEY));
        }
        String path = httpRequest.path();
        if (!path.startsWith(PATH_PREFIX)) {
            throw new CrankException(
                    ResultCode.BAD_REQUEST,
                    "path: must be /v1/<service>/<key>, unless the header Crank-Service is given");
        }
        String[] parts = path.substring(PATH_PREFIX.length()).split("/", 3);
        return new Address(parts[0], parts.length > 1 ? Optional.of(parts[1]) : Optional.empty());
    }

    private static ServiceConfig findService(String text, RoutingSnapshot snapshot) {
        Optional<ServiceConfig> configuredService;
        try {
            configuredService = snapshot.configuration().service(new ServiceName(text));
        } catch (IllegalArgumentException e) {
            throw new CrankException(ResultCode.UNKNOWN_SERVICE, "service: " + e.getMessage(), e);
        }
        return configuredService.orElseThrow(
                () -> new CrankException(ResultCode.UNKNOWN_SERVICE, "service: there is no service " + text));
    }

    private static Key parseKey(Address address) {
        String encoded =
                address.key().orElseThrow(() -> new CrankException(ResultCode.MALFORMED_KEY, "key: is missing"));
        try {
            return new Key(PercentDecoder.decode(encoded));
        } catch (IllegalArgumentException e) {
            throw new CrankException(ResultCode.MALFORMED_KEY, "key: " + e.getMessage(), e);
        }
    }

    private static Optional<IdempotencyKey> parseIdempotencyKey(HttpRequest httpRequest) {
        try {
            return singleHeader(httpRequest, IDEMPOTENCY_KEY_HEADER, ResultCode.BAD_IDEMPOTENCY_KEY)
                    .map(IdempotencyKey::new);
        } catch (IllegalArgumentException e) {
            throw new CrankException(ResultCode.BAD_IDEMPOTENCY_KEY, "Idempotency-Key: " + e.getMessage(), e);
        }
    }

    private static OptionalLong parseKeyAgeMs(HttpRequest httpRequest, boolean hasKey) {
        Optional<String> text = singleHeader(httpRequest, KEY_AGE_HEADER, ResultCode.BAD_IDEMPOTENCY_KEY);
        if (text.isEmpty()) {
            return OptionalLong.empty();
        }
        if (!hasKey) {
            throw new CrankException(
                    ResultCode.BAD_IDEMPOTENCY_KEY, "Crank-Key-Age-Ms: is given without Idempotency-Key");
        }
        return OptionalLong.of(
                parseNumber(ResultCode.BAD_IDEMPOTENCY_KEY, "Crank-Key-Age-Ms", text.get(), 0, Long.MAX_VALUE));
    }

    private static long parseNumber(ResultCode code, String field, String text, long min, long max) {
        try {
            long value = Long.parseLong(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new CrankException(code, field + ": is not a whole number", e);
        }
        throw new CrankException(code, field + ": must be between " + min + " and " + max);
    }

    /** The value of a header that must not be repeated. */
    private static Optional<String> singleHeader(HttpRequest httpRequest, String name, ResultCode code) {
        List<Header> fields = httpRequest.headers().stream()
                .filter(h -> h.name().equals(name))
                .toList();
        if (fields.size() > 1) {
            throw new CrankException(code, name + ": is given more than once");
        }
        return fields.stream().map(Header::value).findFirst();
    }

    /** Replaces all characters except letters, digits, underscore and hyphen. */
    private static String printable(String text) {
        return text.replaceAll("[^A-Za-z0-9_-]", "?");
    }
}
