package org.coriandercrank.kernel.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.IdempotencyKey;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * A request of a caller, as passed between gates and daemons.
 *
 * <p>Immutable by convention: the body array is not changed after construction.
 *
 * @param key empty for an unkeyed service
 * @param path path and query as sent to the backend server, starting with a slash
 * @param remainingMs time in milliseconds until the deadline, measured when the request was passed on
 * @param idempotencyKeyAgeMs time in milliseconds since the first attempt of the caller with the key, if stated
 * @param rules rules of the route of the request; empty if the configuration of its service applies
 * @param fingerprint empty if the daemon that received the request does not compute it
 */
public record CallerRequest(
        RequestId id,
        ServiceName service,
        Optional<Key> key,
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        long remainingMs,
        Optional<IdempotencyKey> idempotencyKey,
        OptionalLong idempotencyKeyAgeMs,
        Optional<RequestRules> rules,
        Optional<RequestFingerprint> fingerprint) {
    public CallerRequest {
        headers = List.copyOf(headers);
        if (remainingMs < 0) {
            throw new IllegalArgumentException("remainingMs must not be negative");
        }
    }

    /** Creates a request without a fingerprint. */
    public CallerRequest(
            RequestId id,
            ServiceName service,
            Optional<Key> key,
            String method,
            String path,
            List<Header> headers,
            byte[] body,
            long remainingMs,
            Optional<IdempotencyKey> idempotencyKey,
            OptionalLong idempotencyKeyAgeMs,
            Optional<RequestRules> rules) {
        this(
                id,
                service,
                key,
                method,
                path,
                headers,
                body,
                remainingMs,
                idempotencyKey,
                idempotencyKeyAgeMs,
                rules,
                Optional.empty());
    }

    /** Whether the request may be executed more than once. */
    public boolean isRepeatable(ServiceConfig config) {
        return rules.map(RequestRules::repeatable).orElseGet(() -> config.isRepeatable(method));
    }

    /** Whether a server of a region may execute the request. */
    public boolean isAllowedIn(Region region) {
        return rules.map(r -> r.allows(region)).orElse(true);
    }

    public CallerRequest withId(RequestId newId) {
        return new CallerRequest(
                newId,
                service,
                key,
                method,
                path,
                headers,
                body,
                remainingMs,
                idempotencyKey,
                idempotencyKeyAgeMs,
                rules,
                fingerprint);
    }

    public CallerRequest withRemainingMs(long newRemainingMs) {
        return new CallerRequest(
                id,
                service,
                key,
                method,
                path,
                headers,
                body,
                newRemainingMs,
                idempotencyKey,
                idempotencyKeyAgeMs,
                rules,
                fingerprint);
    }

    /** Returns this request with other allowed regions in its rules; a request without rules stays as it is. */
    public CallerRequest withAllowedRegions(Set<Region> allowedRegions) {
        return new CallerRequest(
                id,
                service,
                key,
                method,
                path,
                headers,
                body,
                remainingMs,
                idempotencyKey,
                idempotencyKeyAgeMs,
                rules.map(r -> r.withAllowedRegions(allowedRegions)),
                fingerprint);
    }

    public CallerRequest withFingerprint(Optional<RequestFingerprint> newFingerprint) {
        return new CallerRequest(
                id,
                service,
                key,
                method,
                path,
                headers,
                body,
                remainingMs,
                idempotencyKey,
                idempotencyKeyAgeMs,
                rules,
                newFingerprint);
    }
}
