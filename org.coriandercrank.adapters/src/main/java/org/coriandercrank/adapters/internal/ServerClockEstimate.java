package org.coriandercrank.adapters.internal;

import java.util.List;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.Stopwatch;

/**
 * Estimate of the monotonic clock of a backend server, so that the validity of a grant can be measured from the time
 * at which its sender determined it.
 *
 * <p>A server process that was suspended may find an old grant in its receive buffer when it resumes. If validity were
 * measured from arrival, that grant would be valid although the daemon has already treated it as expired. The estimate
 * is the clock in the latest response to a control call plus the local time since that response arrived, so it is ahead
 * of the server's clock by clock drift at most. Thread safe.
 */
public final class ServerClockEstimate {
    private static final String CLOCK_HEADER = "crank-clock";
    private static final String SENT_AT_HEADER = "crank-sent-at";

    /** Server process, its clock in a response, and the local time at which the response arrived. Immutable. */
    private record Observation(String instance, long serverNanos, long localNanos) {}

    private final MonotonicClock clock;
    private volatile Observation latest;

    public ServerClockEstimate(MonotonicClock clock) {
        this.clock = clock;
    }

    public boolean isKnown() {
        return latest != null;
    }

    /** Records the clock in a response, if the server sends one as {@code instance:nanos}. */
    public void observe(HttpResponse response) {
        String headerValue = response.header(CLOCK_HEADER).orElse("");
        int colon = headerValue.indexOf(':');
        if (colon < 0) {
            return;
        }
        try {
            latest = new Observation(
                    headerValue.substring(0, colon),
                    Long.parseLong(headerValue.substring(colon + 1)),
                    clock.nowNanos());
        } catch (NumberFormatException e) {
            latest = null;
        }
    }

    /**
     * Returns the start of a stopwatch on the server's clock as a header; empty if the server's clock is not known. The
     * stated time is never later than the start, also if the clock was read only after it or the process is suspended
     * in between.
     */
    public List<Header> sentAtHeader(Stopwatch stopwatch) {
        Observation observation = latest;
        if (observation == null) {
            return List.of();
        }
        long nowOnServerNanos = observation.serverNanos + clock.nowNanos() - observation.localNanos;
        // Read after the other clock, so that a pause between the two makes the stated time earlier.
        long serverNanos = nowOnServerNanos - stopwatch.elapsedNanos();
        return List.of(new Header(SENT_AT_HEADER, observation.instance + ":" + serverNanos));
    }
}
