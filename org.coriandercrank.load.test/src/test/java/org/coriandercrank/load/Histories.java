package org.coriandercrank.load;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.code.Outcome;

/** Short forms of calls and executions for tests. Stateless; times are in milliseconds. */
final class Histories {
    private static final int OK = 0;
    private static final int REFUSED = 200;
    private static final int LOST = 300;

    private Histories() {}

    static CallRecord write(long operation, String requestId, Outcome outcome) {
        return call(operation, requestId, "k", "PUT", 0, 10, Optional.of(outcome), false);
    }

    static CallRecord timed(String requestId, String key, long intendedMs, long endedMs, Outcome outcome) {
        return call(requestId.hashCode(), requestId, key, "GET", intendedMs, endedMs, Optional.of(outcome), false);
    }

    static CallRecord foreign(long operation, String requestId) {
        return call(operation, requestId, "k", "GET", 0, 10, Optional.of(Outcome.RUN), true);
    }

    static CallRecord unanswered(long operation, String requestId) {
        return call(operation, requestId, "k", "PUT", 0, 10, Optional.empty(), false);
    }

    private static int code(Outcome outcome) {
        return switch (outcome) {
            case RUN -> OK;
            case NOT_RUN -> REFUSED;
            case UNKNOWN -> LOST;
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
            boolean foreign) {
        return new CallRecord(
                operation,
                requestId,
                "counter-desk",
                key,
                method,
                "GET".equals(method),
                nanos(intendedMs),
                nanos(endedMs),
                outcome.map(Histories::code).orElse(CallRecord.NO_ANSWER),
                outcome,
                foreign);
    }

    static Execution execution(String server, String requestId, long fence, long startMs, long endMs) {
        return new Execution(server, requestId, "k", "PUT", fence, nanos(startMs), nanos(endMs));
    }

    static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
