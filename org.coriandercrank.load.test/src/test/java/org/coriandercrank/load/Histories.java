package org.coriandercrank.load;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.code.Outcome;

/** Creates calls and executions for tests. Stateless; all times are passed in milliseconds. */
final class Histories {
    private static final int OK_CODE = 0;
    private static final int NOT_RUN_CODE = 200;
    private static final int UNKNOWN_OUTCOME_CODE = 300;

    private Histories() {}

    static CallRecord write(long operation, String requestId, Outcome outcome) {
        return call(operation, requestId, "k", "PUT", 0, 10, Optional.of(outcome), false);
    }

    static CallRecord read(String requestId, String key, long intendedMs, long endedMs, Outcome outcome) {
        return call(requestId.hashCode(), requestId, key, "GET", intendedMs, endedMs, Optional.of(outcome), false);
    }

    static CallRecord readWithForeignResponse(long operation, String requestId) {
        return call(operation, requestId, "k", "GET", 0, 10, Optional.of(Outcome.RUN), true);
    }

    static CallRecord writeWithoutResponse(long operation, String requestId) {
        return call(operation, requestId, "k", "PUT", 0, 10, Optional.empty(), false);
    }

    private static int resultCode(Outcome outcome) {
        return switch (outcome) {
            case RUN -> OK_CODE;
            case NOT_RUN -> NOT_RUN_CODE;
            case UNKNOWN -> UNKNOWN_OUTCOME_CODE;
        };
    }

    private static CallRecord call(
            long operation,
            String requestId,
            String key,
            String method,
            long intendedMs,
            long endedMs,
            Optional<Outcome> outcome,
            boolean foreignAnswer) {
        return new CallRecord(
                operation,
                requestId,
                "counter-desk",
                key,
                method,
                "GET".equals(method),
                nanos(intendedMs),
                nanos(endedMs),
                outcome.map(Histories::resultCode).orElse(CallRecord.NO_ANSWER),
                outcome,
                foreignAnswer);
    }

    static Execution execution(String server, String requestId, long fence, long startMs, long endMs) {
        return new Execution(server, requestId, "k", "PUT", fence, nanos(startMs), nanos(endMs));
    }

    static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
