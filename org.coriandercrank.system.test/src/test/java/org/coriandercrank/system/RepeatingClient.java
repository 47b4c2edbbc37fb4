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
 * Sends non-repeatable operations with idempotency keys to random daemons and repeats them although they succeeded.
 * Every repeat must get the first response. Not thread safe; {@link #finish} ends its thread.
 */
final class RepeatingClient {
    private static final long SEED = 11;
    private static final long FINISH_TIMEOUT_SECONDS = 60;
    private static final int REPEATS_PER_OPERATION = 4;
    private static final int NO_RESULT_CODE = -1;

    /** An operation and its first response, as status code and body. Immutable. */
    private record Operation(long number, String key, String idempotencyKey, long firstSentNanos, String response) {}

    /** All calls, and descriptions of the repeats whose response differed from the first one. Immutable. */
    record Result(List<CallRecord> calls, List<String> differingResponses) {
        Result {
            calls = List.copyOf(calls);
            differingResponses = List.copyOf(differingResponses);
        }
    }

    private final TestCluster cluster;
    private final List<HostAddress> targets;
    private final Random random = new Random(SEED);
    private final String runId = "repeat" + Long.toString(System.nanoTime(), Character.MAX_RADIX);
    private final List<Operation> operations = new ArrayList<>();
    private final List<CallRecord> calls = new ArrayList<>();
    private final List<String> differingResponses = new ArrayList<>();
    private final CompletableFuture<Result> result;
    private volatile boolean stopped;

    RepeatingClient(TestCluster cluster, List<HostAddress> targets) {
        this.cluster = cluster;
        this.targets = targets;
        this.result = CompletableFuture.supplyAsync(this::run);
    }

    /** Repeats every operation a last time, then ends the calls and returns their results. */
    Result finish() {
        stopped = true;
        try {
            return result.get(FINISH_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (ExecutionException | TimeoutException e) {
            throw new AssertionError("repeating client did not finish", e);
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
        return new Result(calls, differingResponses);
    }

    private void sendNewOperation() {
        long number = calls.size();
        String key = "key-" + random.nextInt(BackgroundTraffic.KEY_COUNT);
        long nowNanos = System.nanoTime();
        Operation operation = new Operation(number, key, runId + "-k" + number, nowNanos, "");
        String response = send(operation, nowNanos);
        if (calls.get(calls.size() - 1).succeeded()) {
            operations.add(new Operation(number, key, operation.idempotencyKey(), nowNanos, response));
        }
    }

    private void repeat(Operation operation) {
        String response = send(operation, System.nanoTime());
        if (!response.equals(operation.response())) {
            differingResponses.add("the repeat of " + operation + " got response " + response);
        }
    }

    private String send(Operation operation, long nowNanos) {
        String requestId = runId + "-" + calls.size();
        HttpResponse<byte[]> response = cluster.send(
                "POST",
                targets.get(random.nextInt(targets.size())),
                "/v1/" + TestCluster.SERVICE + "/" + operation.key(),
                operation.key() + "=" + operation.idempotencyKey(),
                "Crank-Request-Id: " + requestId,
                "Crank-Deadline-Ms: 3000",
                "Idempotency-Key: " + operation.idempotencyKey(),
                "Crank-Key-Age-Ms: " + TimeUnit.NANOSECONDS.toMillis(nowNanos - operation.firstSentNanos()));
        int code = response.headers()
                .firstValue("crank-result")
                .map(Integer::parseInt)
                .orElse(NO_RESULT_CODE);
        Optional<Outcome> outcome = response.headers()
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
        return response.statusCode() + " " + new String(response.body(), StandardCharsets.UTF_8);
    }
}
