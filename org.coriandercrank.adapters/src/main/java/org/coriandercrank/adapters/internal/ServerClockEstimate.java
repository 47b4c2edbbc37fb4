package org.coriandercrank.adapters.internal;

import java.util.List;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.time.MonotonicClock;

/**
 * What is known of the monotonic clock of a backend server, so that the validity of a grant can count from its sending.
 *
 * <p>A server that is frozen for a while may find a grant in its receive buffer on return. Counted from arrival, that
 * grant would be valid although its sender has long given it up. The estimate is the server's clock of its latest
 * control answer plus the local time since that answer arrived, so it never runs ahead of the server's clock beyond
 * drift. Thread safe.
 */
public final class ServerClockEstimate {
    private static final String CLOCK_HEADER = "crank-clock";
    private static final String SENT_AT_HEADER = "crank-sent-at";

    /** Instance of the server process, its clock in an answer, and the local time at which the answer arrived. */
    private record Observation(String instance, long serverNanos, long localNanos) {}

    private final MonotonicClock clock;
    private volatile Observation latest;

    public ServerClockEstimate(MonotonicClock clock) {
        this.clock = clock;
    }

    public boolean isKnown() {
        return latest != null;
    }

    /** Takes over the clock of an answer, if the server states one as {@code instance:nanos}. */
    public void observe(HttpResponse response) {
        String value = response.header(CLOCK_HEADER).orElse("");
        int colon = value.indexOf(':');
        if (colon < 0) {
            return;
        }
        try {
            latest = new Observation(
                    value.substring(0, colon), Long.parseLong(value.substring(colon + 1)), clock.nowNanos());
        } catch (NumberFormatException e) {
            latest = null;
        }
    }

    /** The present time on the server's clock, as a header; empty if the server never stated its clock. */
    public List<Header> sentAtHeader() {
        Observation observation = latest;
        if (observation == null) {
            return List.of();
        }
        long serverNanos = observation.serverNanos + clock.nowNanos() - observation.localNanos;
        return List.of(new Header(SENT_AT_HEADER, observation.instance + ":" + serverNanos));
    }
}
