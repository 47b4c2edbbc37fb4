package org.coriandercrank.gate.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.scheduling.link.Uplink;

/**
 * Expected time until the answer to a request has left the host, from the long answers that wait for the link and those
 * that the admitted requests will have. The length of an answer is that of earlier answers to requests with the same
 * rules. Not thread safe.
 */
final class LinkForecast {
    /** Weight of the latest answer in the mean length. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** An answer leaves this host and, as a rule, that of the daemon to which its caller is connected. */
    private static final int LINKS_PER_ANSWER = 2;

    /** Part of the objective within which an answer is expected; the rest is for the network and longer answers. */
    private static final double OBJECTIVE_SHARE = 0.75;

    private static final long MIN_RETRY_AFTER_MS = 50;

    /** Upper bound of the retry-after time, because the load cannot be predicted for longer. */
    private static final long MAX_RETRY_AFTER_MS = 2_000;

    private final GateContext context;
    private final Uplink uplink;
    private final RequestQueue queue;
    private final BackendCalls calls;
    private final Map<Optional<RequestRules>, Double> meanBytesByClass = new HashMap<>();

    /** Earliest time at which the next refused caller should retry. */
    private long nextRetryNanos;

    LinkForecast(GateContext context, RequestQueue queue, BackendCalls calls) {
        this.context = context;
        this.uplink = context.dependencies().uplink();
        this.queue = queue;
        this.calls = calls;
        nextRetryNanos = context.nowNanos();
    }

    /** Records the length of an answer of the backend server. */
    void onAnswer(Optional<RequestRules> rules, int bytes) {
        meanBytesByClass.merge(rules, (double) bytes, (mean, latest) -> mean + SMOOTHING_FACTOR * (latest - mean));
    }

    /**
     * Refuses a request whose answer is expected to be long and to arrive after the deadline or the latency objective,
     * unless the link is free for it.
     *
     * @param executedAfterMs expected time until the backend server has executed the request
     */
    Optional<CallerAnswer> refusal(
            Optional<RequestRules> rules, long executedAfterMs, long remainingMs, long nowNanos) {
        double answerMs = uplink.transferMs(longAnswerBytes(rules));
        if (answerMs == 0) {
            return Optional.empty();
        }
        double occupiedMs = uplink.transferMs(admittedBytes());
        double latestMs = Math.min(
                (double) remainingMs,
                rules.map(r -> OBJECTIVE_SHARE * r.latencyObjectiveMs()).orElse(Double.POSITIVE_INFINITY));
        double lateMs = Math.max((double) executedAfterMs, occupiedMs) + LINKS_PER_ANSWER * answerMs - latestMs;
        if (occupiedMs == 0 || lateMs <= 0) {
            return Optional.empty();
        }
        long retryAfterMs = retryAfterMs(lateMs, answerMs, nowNanos);
        context.metrics().onLinkRefusal();
        context.logDecision(() -> "event=link-refusal occupiedMs=" + (long) occupiedMs + " answerMs=" + (long) answerMs
                + " executedAfterMs=" + executedAfterMs + " latestMs=" + (long) latestMs + " retryAfterMs="
                + retryAfterMs);
        return Optional.of(CallerAnswer.retryLater(
                ResultCode.OVERLOADED, "the link of the host is busy until the answer would be late", retryAfterMs));
    }

    /** Mean length of the answers to requests with the same rules; 0 if it is not long. */
    private double longAnswerBytes(Optional<RequestRules> rules) {
        double meanBytes = meanBytesByClass.getOrDefault(rules, 0.0);
        return uplink.isLong((long) meanBytes) ? meanBytes : 0;
    }

    /** Bytes of the long answers that wait for the link, and expected bytes of those to requests that were admitted. */
    private double admittedBytes() {
        double bytes = uplink.backlogBytes();
        for (Execution queued : queue.filter(e -> true)) {
            bytes += longAnswerBytes(queued.request().rules());
        }
        for (Execution running : calls.runningCalls()) {
            bytes += longAnswerBytes(running.request().rules());
        }
        return bytes;
    }

    /** Each caller gets a later time than the one before, by the time that its answer occupies the link. */
    private long retryAfterMs(double lateMs, double answerMs, long nowNanos) {
        long inTimeNanos = nowNanos + nanos(lateMs);
        long retryNanos = inTimeNanos - nextRetryNanos > 0 ? inTimeNanos : nextRetryNanos;
        long retryAfterMs = TimeUnit.NANOSECONDS.toMillis(retryNanos - nowNanos);
        if (retryAfterMs >= MAX_RETRY_AFTER_MS) {
            return MAX_RETRY_AFTER_MS;
        }
        nextRetryNanos = retryNanos + nanos(answerMs);
        return Math.max(MIN_RETRY_AFTER_MS, retryAfterMs);
    }

    private static long nanos(double ms) {
        return (long) (ms * TimeUnit.MILLISECONDS.toNanos(1));
    }
}
