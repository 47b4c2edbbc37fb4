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
    private static final int MAX_REASON_CHARS = 100;
    private static final LongAdder COUNT_OF_PROCESS = new LongAdder();

    private final HostAddress server;

    RejectedResponses(HostAddress server) {
        this.server = server;
    }

    /** @param reason may contain received bytes; control characters and what is too long are left out of the log */
    void add(String reason) {
        COUNT_OF_PROCESS.increment();
        logger.atWarning().atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS).log(
                "event=http-response-rejected server=%s reason=\"%s\"", server, printable(reason));
    }

    private static String printable(String text) {
        return text.substring(0, Math.min(text.length(), MAX_REASON_CHARS)).replaceAll("[^ !#-~]", "?");
    }

    /** Number since the start of the process, of all clients. */
    static long countOfProcess() {
        return COUNT_OF_PROCESS.sum();
    }
}
