package org.coriandercrank.system;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.load.CallRecord;

/**
 * A caller that repeats non-repeatable operations with their idempotency keys although they succeeded, at any daemon.
 * Not thread safe; {@link #finish} ends its thread.
 */
final class RepeatingClient {
    private static final long SEED = 11;
    private static final long FINISH_TIMEOUT_SECONDS = 60;
    private static final int REPEATS_PER_OPERATION = 4;
    private static final int NO_RESULT_CODE = -1;

    /** An operation that succeeded and its first answer. Immutable. */
    private record Operation(long number, String key, String idempotencyKey, long firstNanos, String answer) {}

    /** What the caller saw. Immutable. */
    record Result(List<CallRecord> calls, List<String> differingAnswers) {
        Result {
            calls = List.copyOf(calls);
            differingAnswers = List.copyOf(differingAnswers);
        }
    }

    private final TestCluster cluster;
    private final List<HostAddress> targets;
    private final Random random = new Random(SEED);
    private final String runId = "repeat" + Long.toString(System.nanoTime(), Character.MAX_RADIX);
    private final List<Operation> operations = new ArrayList<>();
    private final List<CallRecord> calls = new ArrayList<>();
    private final List<String> differingAnswers = new ArrayList<>();
    private final CompletableFuture<Result> result;
    private volatile boolean stopped;

    RepeatingClient(TestCluster cluster, List<HostAddress> targets) {
        this.cluster = cluster;
        this.targets = targets;
        this.result = CompletableFuture.supplyAsync(this::run);
    }

    /** Ends the calls, after a last repeat of every operation. */
    Result finish() {
        stopped = true;
        try {
            return result.get(FINISH_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (ExecutionException | TimeoutException e) {
            throw new AssertionError("repeating caller did not finish", e);
        }
    }

    private Result run() {
        while (!stopped) {
            sendNewOperation();
            for (int i = 0; i < REPEATS_PER_OPERATION && !operations.isEmpty(); i++) {
                repeat(operations.get(random.nextInt(operations.size())));
            }
        }
        operations.forEach(this::repeat);
        return new Result(calls, differingAnswers);
    }

    private void sendNewOperation() {
        long number = calls.size();
        String key = "key-" + random.nextInt(BackgroundTraffic.KEY_COUNT);
        long nowNanos = System.nanoTime();
        Operation asked = new Operation(number, key, runId + "-k" + number, nowNanos, "");
        String answer = send(asked, nowNanos);
        if (calls.get(calls.size() - 1).succeeded()) {
            operations.add(new Operation(number, key, asked.idempotencyKey(), nowNanos, answer));
        }
    }

    private void repeat(Operation operation) {
        String answer = send(operation, System.nanoTime());
        if (!answer.equals(operation.answer())) {
            differingAnswers.add(operation + " was repeated with answer " + answer);
        }
    }

    private String send(Operation operation, long nowNanos) {
        String requestId = runId + "-" + calls.size();
        HttpResponse<byte[]> reply = cluster.send(
                "POST",
                targets.get(random.nextInt(targets.size())),
                "/v1/" + TestCluster.SERVICE + "/" + operation.key(),
                operation.key() + "=" + operation.idempotencyKey(),
                "Crank-Request-Id: " + requestId,
                "Crank-Deadline-Ms: 3000",
                "Idempotency-Key: " + operation.idempotencyKey(),
                "Crank-Key-Age-Ms: " + TimeUnit.NANOSECONDS.toMillis(nowNanos - operation.firstNanos()));
        int code = reply.headers()
                .firstValue("crank-result")
                .map(Integer::parseInt)
                .orElse(NO_RESULT_CODE);
        Optional<Outcome> outcome = reply.headers()
                .firstValue("crank-outcome")
                .flatMap(text -> List.of(Outcome.values()).stream()
                        .filter(o -> o.headerValue().equals(text))
                        .findFirst());
        calls.add(new CallRecord(
                operation.number(),
                requestId,
                TestCluster.SERVICE,
                operation.key(),
                "POST",
                false,
                nowNanos,
                System.nanoTime(),
                code,
                outcome,
                false));
        return reply.statusCode() + " " + new String(reply.body(), StandardCharsets.UTF_8);
    }
}
