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
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.load.CallRecord;

/**
 * Sends a workload in an open loop: each call has its time by the schedule, whatever the calls before it do. Latency
 * counts from that time. Thread safe after construction; {@link #run} is called once.
 */
public final class LoadDriver implements AutoCloseable {
    private static final int MAX_CONNECTIONS_PER_TARGET = 512;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long CLIENT_GRACE_MS = 1_000;
    private static final long DEFAULT_RETRY_AFTER_MS = 100;
    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int FIRST_REQUEST_FAULT = 100;
    private static final int LAST_REQUEST_FAULT = 199;
    private static final long SPIN_BELOW_NANOS = 100_000;

    /** Builds the call of an attempt. */
    @FunctionalInterface
    public interface RequestFactory {
        HttpRequest create(LoadPlan plan, Attempt attempt);
    }

    /** One attempt of an operation. Immutable. */
    public record Attempt(
            long operation,
            int number,
            String requestId,
            String key,
            String method,
            String value,
            String idempotencyKey,
            long ageMs) {}

    private final LoadPlan plan;
    private final RequestFactory form;
    private final EventLoopGroup group;
    private final List<HttpClient> clients = new ArrayList<>();
    private final ConcurrentLinkedQueue<CallRecord> records = new ConcurrentLinkedQueue<>();
    private final Phaser outstanding = new Phaser(1);
    private final String runId;
    private long startedNanos;

    public LoadDriver(EventLoopGroup group, List<HostAddress> targets, LoadPlan plan, RequestFactory form) {
        this.plan = plan;
        this.form = form;
        this.group = group;
        this.runId = "l" + Long.toString(System.nanoTime(), Character.MAX_RADIX) + "-" + plan.seed();
        HttpClientOptions options = new HttpClientOptions(
                MAX_CONNECTIONS_PER_TARGET, MAX_CONNECTIONS_PER_TARGET, CONNECT_TIMEOUT_MS, 16_777_216, 60_000);
        targets.forEach(target -> clients.add(new HttpClient(group, target, options)));
    }

    /** Runs the workload, waits for its last answer and returns all calls. Blocks. */
    public List<CallRecord> run() {
        KeyChooser keys = new KeyChooser(plan);
        Random random = new Random(plan.seed() + 1);
        startedNanos = System.nanoTime();
        long dueNanos = startedNanos;
        long endNanos = startedNanos + TimeUnit.MILLISECONDS.toNanos(plan.durationMs());
        double meanGapNanos = 1e9 / plan.ratePerSecond();
        for (long operation = 0; dueNanos < endNanos; operation++) {
            waitUntil(dueNanos);
            startOperation(operation, dueNanos, keys, random);
            dueNanos += (long) (-Math.log(1 - random.nextDouble()) * meanGapNanos);
        }
        outstanding.arriveAndAwaitAdvance();
        return List.copyOf(records);
    }

    public long startedNanos() {
        return startedNanos;
    }

    private void startOperation(long operation, long dueNanos, KeyChooser keys, Random random) {
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(dueNanos - startedNanos);
        String key = keys.next(elapsedMs);
        boolean write = random.nextInt(100) < plan.writePercent();
        String requestId = runId + "-" + operation;
        String value = write ? key + "=" + requestId + "x".repeat(plan.bodyBytes()) : "";
        Attempt first = new Attempt(operation, 1, requestId, key, write ? "PUT" : "GET", value, requestId, 0);
        outstanding.register();
        send(first, dueNanos, dueNanos, random.nextInt(clients.size()));
    }

    private void send(Attempt attempt, long operationDueNanos, long dueNanos, int target) {
        clients.get(target)
                .send(form.create(plan, attempt), plan.deadlineMs() + CLIENT_GRACE_MS)
                .whenComplete((reply, failure) -> {
                    CallRecord answered = record(attempt, dueNanos, Optional.ofNullable(reply));
                    records.add(answered);
                    if (isFinal(answered) || attempt.number() > plan.maxRetries()) {
                        outstanding.arriveAndDeregister();
                    } else {
                        repeatLater(attempt, operationDueNanos, target, retryAfterMs(reply));
                    }
                });
    }

    /**
     * Whether a repeat cannot change the answer: success, a fault of the request, or a lost record, since the age of an
     * idempotency key only grows.
     */
    private static boolean isFinal(CallRecord answered) {
        int code = answered.resultCode();
        return answered.succeeded()
                || (code >= FIRST_REQUEST_FAULT && code <= LAST_REQUEST_FAULT)
                || code == ResultCode.RECORD_LOST.number();
    }

    private void repeatLater(Attempt attempt, long operationDueNanos, int target, long pauseMs) {
        int nextNumber = attempt.number() + 1;
        group.next()
                .schedule(
                        () -> {
                            long nowNanos = System.nanoTime();
                            Attempt next = new Attempt(
                                    attempt.operation(),
                                    nextNumber,
                                    runId + "-" + attempt.operation() + "-r" + nextNumber,
                                    attempt.key(),
                                    attempt.method(),
                                    attempt.value(),
                                    attempt.idempotencyKey(),
                                    TimeUnit.NANOSECONDS.toMillis(nowNanos - operationDueNanos));
                            send(next, operationDueNanos, nowNanos, (target + 1) % clients.size());
                        },
                        pauseMs,
                        TimeUnit.MILLISECONDS);
    }

    private static long retryAfterMs(HttpResponse reply) {
        if (reply == null) {
            return DEFAULT_RETRY_AFTER_MS;
        }
        return number(reply, "crank-retry-after-ms").orElse(DEFAULT_RETRY_AFTER_MS);
    }

    private CallRecord record(Attempt attempt, long dueNanos, Optional<HttpResponse> reply) {
        int code = (int) reply.map(r ->
                        number(r, "crank-result").orElse(r.status() < STATUS_SERVER_ERROR ? 0 : CallRecord.NO_ANSWER))
                .orElse((long) CallRecord.NO_ANSWER)
                .longValue();
        Optional<Outcome> outcome =
                reply.flatMap(r -> r.header("crank-outcome")).flatMap(LoadDriver::outcome);
        boolean foreign = reply.isPresent() && isForeign(attempt, reply.get(), code);
        return new CallRecord(
                attempt.operation(),
                attempt.requestId(),
                plan.service(),
                plan.keyed() ? attempt.key() : "",
                attempt.method(),
                "GET".equals(attempt.method()),
                dueNanos,
                System.nanoTime(),
                code,
                outcome,
                foreign);
    }

    /** A value starts with its key, so the answer to a read tells whether it belongs to it. */
    private boolean isForeign(Attempt attempt, HttpResponse reply, int code) {
        boolean foreignId = reply.header("crank-request-id")
                .map(id -> !id.equals(attempt.requestId()))
                .orElse(false);
        boolean hasValue = code == 0 && reply.status() == STATUS_OK && plan.keyed() && "GET".equals(attempt.method());
        if (!hasValue || reply.body().length == 0) {
            return foreignId;
        }
        String body = new String(reply.body(), StandardCharsets.UTF_8);
        return foreignId || !body.startsWith(attempt.key() + "=");
    }

    private static OptionalLong number(HttpResponse reply, String header) {
        Optional<String> text = reply.header(header);
        try {
            return text.isPresent() ? OptionalLong.of(Long.parseLong(text.get())) : OptionalLong.empty();
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private static Optional<Outcome> outcome(String headerValue) {
        for (Outcome outcome : Outcome.values()) {
            if (outcome.headerValue().equals(headerValue)) {
                return Optional.of(outcome);
            }
        }
        return Optional.empty();
    }

    private static void waitUntil(long dueNanos) {
        long remainingNanos = dueNanos - System.nanoTime();
        while (remainingNanos > 0) {
            if (remainingNanos > SPIN_BELOW_NANOS) {
                LockSupport.parkNanos(remainingNanos - SPIN_BELOW_NANOS);
            } else {
                Thread.onSpinWait();
            }
            remainingNanos = dueNanos - System.nanoTime();
        }
    }

    @Override
    public void close() {
        clients.forEach(HttpClient::close);
    }

    /** Calls through a daemon. */
    public static HttpRequest routedRequest(LoadPlan plan, Attempt attempt) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("crank-request-id", attempt.requestId()));
        headers.add(new Header("crank-deadline-ms", Long.toString(plan.deadlineMs())));
        if (!"GET".equals(attempt.method())) {
            headers.add(new Header("idempotency-key", attempt.idempotencyKey()));
            headers.add(new Header("crank-key-age-ms", Long.toString(attempt.ageMs())));
        }
        String path = "/v1/" + plan.service() + (plan.keyed() ? "/" + attempt.key() : "");
        return new HttpRequest(attempt.method(), path, headers, attempt.value().getBytes(StandardCharsets.UTF_8));
    }

    /** Calls straight to a backend server that checks nothing; the baseline of the router's cost. */
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
