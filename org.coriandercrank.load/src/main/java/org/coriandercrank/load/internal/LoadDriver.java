package org.coriandercrank.load.internal;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.load.CallRecord;

/**
 * Generates load in an open loop: calls start by a schedule that does not depend on the progress of earlier calls.
 * Latency counts from the scheduled start. Thread safe after construction; {@link #run} may be called only once.
 */
public final class LoadDriver implements AutoCloseable {
    private static final int MAX_CONNECTIONS_PER_TARGET = 512;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_RESPONSE_BODY_BYTES = 16_777_216;
    private static final long IDLE_TIMEOUT_MS = 60_000;

    /** Time after the deadline of a request for which the client still waits for the response. */
    private static final long CLIENT_TIMEOUT_MARGIN_MS = 1_000;

    private static final long DEFAULT_RETRY_AFTER_MS = 100;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVER_ERROR = 500;

    /** First result code that reports an error of the request itself; the last is {@link #LAST_REQUEST_ERROR_CODE}. */
    private static final int FIRST_REQUEST_ERROR_CODE = 100;

    private static final int LAST_REQUEST_ERROR_CODE = 199;

    /** Remaining time until the next scheduled start below which the driver spins instead of parking its thread. */
    private static final long SPIN_THRESHOLD_NANOS = 100_000;

    /** Creates the HTTP request of an attempt. */
    @FunctionalInterface
    public interface RequestFactory {
        HttpRequest create(LoadPlan plan, Attempt attempt);
    }

    /**
     * One attempt of an operation. Immutable.
     *
     * @param number number of the attempt, from 1
     * @param value request body; empty for a read
     * @param idempotencyKeyAgeMs time since the scheduled start of the first attempt
     */
    public record Attempt(
            long operation,
            int number,
            String requestId,
            String key,
            String method,
            String value,
            String idempotencyKey,
            long idempotencyKeyAgeMs) {}

    private final LoadPlan plan;
    private final RequestFactory requestFactory;
    private final EventLoopGroup eventLoopGroup;
    private final List<HttpClient> clients = new ArrayList<>();
    private final ConcurrentLinkedQueue<CallRecord> callRecords = new ConcurrentLinkedQueue<>();
    private final Phaser pendingOperations = new Phaser(1);
    private final String runId;
    private long startedNanos;

    public LoadDriver(
            EventLoopGroup eventLoopGroup, List<HostAddress> targets, LoadPlan plan, RequestFactory requestFactory) {
        this.plan = plan;
        this.requestFactory = requestFactory;
        this.eventLoopGroup = eventLoopGroup;
        this.runId = "l" + Long.toString(System.nanoTime(), Character.MAX_RADIX) + "-" + plan.seed();
        HttpClientOptions options = new HttpClientOptions(
                MAX_CONNECTIONS_PER_TARGET,
                /* maxQueuedRequests= */ MAX_CONNECTIONS_PER_TARGET,
                CONNECT_TIMEOUT_MS,
                MAX_RESPONSE_BODY_BYTES,
                IDLE_TIMEOUT_MS);
        targets.forEach(target -> clients.add(new HttpClient(eventLoopGroup, target, options)));
    }

    /** Runs the workload and returns all calls. Blocks until the last call has ended. */
    public List<CallRecord> run() {
        KeyChooser keyChooser = new KeyChooser(plan);
        Random random = new Random(plan.seed() + 1);
        startedNanos = System.nanoTime();
        long intendedNanos = startedNanos;
        long endNanos = startedNanos + TimeUnit.MILLISECONDS.toNanos(plan.durationMs());
        double meanIntervalNanos = NANOS_PER_SECOND / plan.ratePerSecond();
        for (long operation = 0; intendedNanos < endNanos; operation++) {
            waitUntil(intendedNanos);
            startOperation(operation, intendedNanos, keyChooser, random);
            intendedNanos += (long) (-Math.log(1 - random.nextDouble()) * meanIntervalNanos);
        }
        pendingOperations.arriveAndAwaitAdvance();
        return List.copyOf(callRecords);
    }

    /** Returns the start of the run on the monotonic clock; valid after {@link #run} has started. */
    public long startedNanos() {
        return startedNanos;
    }

    private void startOperation(long operation, long intendedNanos, KeyChooser keyChooser, Random random) {
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(intendedNanos - startedNanos);
        String key = keyChooser.nextKey(elapsedMs);
        boolean write = random.nextInt(100) < plan.writePercent();
        String requestId = runId + "-" + operation;
        String value = write ? key + "=" + requestId + "x".repeat(plan.bodyBytes()) : "";
        Attempt firstAttempt = new Attempt(operation, 1, requestId, key, write ? "PUT" : "GET", value, requestId, 0);
        pendingOperations.register();
        send(firstAttempt, intendedNanos, intendedNanos, random.nextInt(clients.size()));
    }

    private void send(Attempt attempt, long firstIntendedNanos, long intendedNanos, int targetIndex) {
        clients.get(targetIndex)
                .send(requestFactory.create(plan, attempt), plan.deadlineMs() + CLIENT_TIMEOUT_MARGIN_MS)
                .whenComplete((response, failure) -> {
                    CallRecord call = toCallRecord(attempt, intendedNanos, Optional.ofNullable(response));
                    callRecords.add(call);
                    if (isFinal(call) || attempt.number() > plan.maxRetries()) {
                        pendingOperations.arriveAndDeregister();
                    } else {
                        scheduleRetry(attempt, firstIntendedNanos, targetIndex, retryAfterMs(response));
                    }
                });
    }

    /**
     * Returns whether a retry cannot change the result. This is so after a success, after an error of the request
     * itself, and after a lost outcome record: the age of an idempotency key only increases, so its record stays lost.
     */
    private static boolean isFinal(CallRecord call) {
        int code = call.resultCode();
        return call.succeeded()
                || (code >= FIRST_REQUEST_ERROR_CODE && code <= LAST_REQUEST_ERROR_CODE)
                || code == ResultCode.RECORD_LOST.number();
    }

    private void scheduleRetry(Attempt attempt, long firstIntendedNanos, int targetIndex, long delayMs) {
        int nextNumber = attempt.number() + 1;
        eventLoopGroup
                .next()
                .schedule(
                        () -> {
                            long nowNanos = System.nanoTime();
                            Attempt retry = new Attempt(
                                    attempt.operation(),
                                    nextNumber,
                                    runId + "-" + attempt.operation() + "-r" + nextNumber,
                                    attempt.key(),
                                    attempt.method(),
                                    attempt.value(),
                                    attempt.idempotencyKey(),
                                    TimeUnit.NANOSECONDS.toMillis(nowNanos - firstIntendedNanos));
                            send(retry, firstIntendedNanos, nowNanos, (targetIndex + 1) % clients.size());
                        },
                        delayMs,
                        TimeUnit.MILLISECONDS);
    }

    private static long retryAfterMs(HttpResponse response) {
        if (response == null) {
            return DEFAULT_RETRY_AFTER_MS;
        }
        return parseNumber(response, "crank-retry-after-ms").orElse(DEFAULT_RETRY_AFTER_MS);
    }

    private CallRecord toCallRecord(Attempt attempt, long intendedNanos, Optional<HttpResponse> response) {
        int code = (int) response.map(received -> parseNumber(received, "crank-result")
                        .orElse(received.status() < STATUS_SERVER_ERROR ? 0 : CallRecord.NO_ANSWER))
                .orElse((long) CallRecord.NO_ANSWER)
                .longValue();
        Optional<Outcome> outcome =
                response.flatMap(received -> received.header("crank-outcome")).flatMap(LoadDriver::parseOutcome);
        boolean foreignResponse = response.isPresent() && isForeignResponse(attempt, response.get(), code);
        return new CallRecord(
                attempt.operation(),
                attempt.requestId(),
                plan.service(),
                plan.keyed() ? attempt.key() : "",
                attempt.method(),
                "GET".equals(attempt.method()),
                intendedNanos,
                System.nanoTime(),
                code,
                outcome,
                foreignResponse);
    }

    /** Returns whether a response belongs to another request. A value starts with its key, so a read can be checked. */
    private boolean isForeignResponse(Attempt attempt, HttpResponse response, int code) {
        boolean foreignRequestId = response.header("crank-request-id")
                .map(id -> !id.equals(attempt.requestId()))
                .orElse(false);
        boolean hasValue =
                code == 0 && response.status() == STATUS_OK && plan.keyed() && "GET".equals(attempt.method());
        if (!hasValue || response.body().length == 0) {
            return foreignRequestId;
        }
        String body = new String(response.body(), StandardCharsets.UTF_8);
        return foreignRequestId || !body.startsWith(attempt.key() + "=");
    }

    private static OptionalLong parseNumber(HttpResponse response, String header) {
        Optional<String> text = response.header(header);
        try {
            return text.isPresent() ? OptionalLong.of(Long.parseLong(text.get())) : OptionalLong.empty();
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private static Optional<Outcome> parseOutcome(String headerValue) {
        for (Outcome outcome : Outcome.values()) {
            if (outcome.headerValue().equals(headerValue)) {
                return Optional.of(outcome);
            }
        }
        return Optional.empty();
    }

    private static void waitUntil(long intendedNanos) {
        long remainingNanos = intendedNanos - System.nanoTime();
        while (remainingNanos > 0) {
            if (remainingNanos > SPIN_THRESHOLD_NANOS) {
                LockSupport.parkNanos(remainingNanos - SPIN_THRESHOLD_NANOS);
            } else {
                Thread.onSpinWait();
            }
            remainingNanos = intendedNanos - System.nanoTime();
        }
    }

    @Override
    public void close() {
        clients.forEach(HttpClient::close);
    }

    /** Creates a request to a daemon. */
    public static HttpRequest routedRequest(LoadPlan plan, Attempt attempt) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("crank-request-id", attempt.requestId()));
        headers.add(new Header("crank-deadline-ms", Long.toString(plan.deadlineMs())));
        if (!"GET".equals(attempt.method())) {
            headers.add(new Header("idempotency-key", attempt.idempotencyKey()));
            headers.add(new Header("crank-key-age-ms", Long.toString(attempt.idempotencyKeyAgeMs())));
        }
        String path = "/v1/" + plan.service() + (plan.keyed() ? "/" + attempt.key() : "");
        return new HttpRequest(attempt.method(), path, headers, attempt.value().getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates a request that goes directly to a backend server without ownership checks, as the baseline for the cost
     * of the router.
     */
    public static HttpRequest directRequest(LoadPlan plan, Attempt attempt) {
        List<Header> headers = List.of(
                new Header("crank-request-id", attempt.requestId()),
                new Header("crank-key", attempt.key()),
                new Header("crank-fence", "1"),
                new Header("crank-deadline-ms", Long.toString(plan.deadlineMs())));
        return new HttpRequest(
                attempt.method(), "/" + plan.service(), headers, attempt.value().getBytes(StandardCharsets.UTF_8));
    }
}
