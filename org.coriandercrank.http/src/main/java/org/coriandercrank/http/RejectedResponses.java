package org.coriandercrank.http;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * Counts and logs input of one server that the client did not accept as a response. Thread safe. The number of log lines
 * is bounded for all clients of the process together.
 */
final class RejectedResponses {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_S = 1;
    private static final LongAdder countOfProcess = new LongAdder();

    private final HostAddress server;

    RejectedResponses(HostAddress server) {
        this.server = server;
    }

    /** @param reason short description without received bytes */
    void add(String reason) {
        countOfProcess.increment();
        logger.atWarning().atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS).log(
                "event=http-response-rejected server=%s reason=\"%s\"", server, reason);
    }

    /** Number since the start of the process, of all clients. */
    static long countOfProcess() {
        return countOfProcess.sum();
    }
}
