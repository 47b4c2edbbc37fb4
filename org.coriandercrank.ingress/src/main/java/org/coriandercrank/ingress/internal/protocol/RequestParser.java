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
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.request.Header;

/**
 * Turns an HTTP request into a {@link CallerRequest}. Thread safe.
 *
 * <p>Each refusal names the offending field. Header fields whose name starts with {@code crank-} are not passed on, so
 * that a caller cannot set fields that are reserved for the backend protocol, such as a fence.
 */
public final class RequestParser {
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");
    private static final String PATH_PREFIX = "/v1/";
    private static final String RESERVED_PREFIX = "crank-";
    private static final String SERVICE = "crank-service";
    private static final String KEY = "crank-key";
    private static final String DEADLINE = "crank-deadline-ms";
    private static final String REQUEST_ID = "crank-request-id";
    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final String KEY_AGE = "crank-key-age-ms";

    private final RequestIds ids;

    public RequestParser(RequestIds ids) {
        this.ids = ids;
    }

    /** Where the request goes, still encoded. */
    private record Address(String service, Optional<String> key) {}

    public ParsedRequest parse(HttpRequest call, RoutingSnapshot snapshot) {
        RequestId id;
        try {
            id = single(call, REQUEST_ID, ResultCode.BAD_REQUEST_ID)
                    .map(RequestIds::parse)
                    .orElseGet(ids::generate);
        } catch (CrankException e) {
            return ParsedRequest.refused(ids.generate(), CallerAnswer.of(e.code(), e.getMessage()));
        }
        if (snapshot.configurationRevision().equals(Revision.NONE)) {
            return ParsedRequest.refused(
                    id, CallerAnswer.of(ResultCode.STARTING, "this daemon has no configuration yet"));
        }
        try {
            return parse(id, call, snapshot);
        } catch (CrankException e) {
            return ParsedRequest.refused(id, CallerAnswer.of(e.code(), e.getMessage()));
        }
    }

    private static ParsedRequest parse(RequestId id, HttpRequest call, RoutingSnapshot snapshot) {
        Address address = address(call);
        ServiceConfig service = service(address.service(), snapshot);
        if (!METHODS.contains(call.method())) {
            throw new CrankException(
                    ResultCode.METHOD_NOT_ALLOWED, "method: " + printable(call.method()) + " is not allowed");
        }
        Optional<Key> key = service.keyed() ? Optional.of(key(address)) : Optional.empty();
        if (!service.keyed() && call.header(KEY).isPresent()) {
            throw new CrankException(ResultCode.BAD_REQUEST, "Crank-Key: the service is not divided by key");
        }
        if (call.body().length > service.maxBodyBytes()) {
            throw new CrankException(
                    ResultCode.BODY_TOO_LARGE,
                    "body: has " + call.body().length + " bytes, at most " + service.maxBodyBytes() + " are allowed");
        }
        long deadlineMs = single(call, DEADLINE, ResultCode.BAD_DEADLINE)
                .map(text -> number(ResultCode.BAD_DEADLINE, "Crank-Deadline-Ms", text, 1, service.maxDeadlineMs()))
                .orElse((long) service.defaultDeadlineMs());
        Optional<IdempotencyKey> idempotencyKey = idempotencyKey(call);
        OptionalLong keyAgeMs = keyAgeMs(call, idempotencyKey.isPresent());
        List<Header> passedOn = call.headers().stream()
                .filter(h -> !h.name().startsWith(RESERVED_PREFIX))
                .toList();
        CallerRequest request = new CallerRequest(
                id,
                service.name(),
                key,
                call.method(),
                call.target(),
                passedOn,
                call.body(),
                deadlineMs,
                idempotencyKey,
                keyAgeMs,
                Optional.empty());
        return ParsedRequest.accepted(request, service);
    }

    private static Address address(HttpRequest call) {
        if (!call.target().startsWith("/")) {
            throw new CrankException(ResultCode.BAD_REQUEST, "path: must start with a slash");
        }
        Optional<String> service = single(call, SERVICE, ResultCode.BAD_REQUEST);
        if (service.isPresent()) {
            return new Address(service.get(), single(call, KEY, ResultCode.MALFORMED_KEY));
        }
        String path = call.path();
        if (!path.startsWith(PATH_PREFIX)) {
            throw new CrankException(
                    ResultCode.BAD_REQUEST, "path: must be /v1/<service>/<key>, or give the header Crank-Service");
        }
        String[] parts = path.substring(PATH_PREFIX.length()).split("/", 3);
        return new Address(parts[0], parts.length > 1 ? Optional.of(parts[1]) : Optional.empty());
    }

    private static ServiceConfig service(String text, RoutingSnapshot snapshot) {
        Optional<ServiceConfig> found;
        try {
            found = snapshot.configuration().service(new ServiceName(text));
        } catch (IllegalArgumentException e) {
            throw new CrankException(ResultCode.UNKNOWN_SERVICE, "service: " + e.getMessage(), e);
        }
        return found.orElseThrow(
                () -> new CrankException(ResultCode.UNKNOWN_SERVICE, "service: there is no service " + text));
    }

    private static Key key(Address address) {
        String encoded =
                address.key().orElseThrow(() -> new CrankException(ResultCode.MALFORMED_KEY, "key: is missing"));
        try {
            return new Key(PercentDecoder.decode(encoded));
        } catch (IllegalArgumentException e) {
            throw new CrankException(ResultCode.MALFORMED_KEY, "key: " + e.getMessage(), e);
        }
    }

    private static Optional<IdempotencyKey> idempotencyKey(HttpRequest call) {
        try {
            return single(call, IDEMPOTENCY_KEY, ResultCode.BAD_IDEMPOTENCY_KEY).map(IdempotencyKey::new);
        } catch (IllegalArgumentException e) {
            throw new CrankException(ResultCode.BAD_IDEMPOTENCY_KEY, "Idempotency-Key: " + e.getMessage(), e);
        }
    }

    private static OptionalLong keyAgeMs(HttpRequest call, boolean hasKey) {
        Optional<String> text = single(call, KEY_AGE, ResultCode.BAD_IDEMPOTENCY_KEY);
        if (text.isEmpty()) {
            return OptionalLong.empty();
        }
        if (!hasKey) {
            throw new CrankException(
                    ResultCode.BAD_IDEMPOTENCY_KEY, "Crank-Key-Age-Ms: is given without Idempotency-Key");
        }
        return OptionalLong.of(
                number(ResultCode.BAD_IDEMPOTENCY_KEY, "Crank-Key-Age-Ms", text.get(), 0, Long.MAX_VALUE));
    }

    private static long number(ResultCode code, String field, String text, long min, long max) {
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

    private static Optional<String> single(HttpRequest call, String name, ResultCode code) {
        List<Header> fields =
                call.headers().stream().filter(h -> h.name().equals(name)).toList();
        if (fields.size() > 1) {
            throw new CrankException(code, name + ": is given more than once");
        }
        return fields.stream().map(Header::value).findFirst();
    }

    private static String printable(String text) {
        return text.replaceAll("[^A-Za-z0-9_-]", "?");
    }
}
