package org.coriandercrank.peer.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.peer.PeerTarget;

/**
 * Log of closed links. A daemon that is down or stops would otherwise fill the log with one reason.
 *
 * <p>Invariant: each closed link is in exactly one line. The first link to a target that ends for a reason has a line at
 * once; those that end for the same reason within {@link #WINDOW_MS} have one common line at the end of that time. Links
 * that this daemon closes because it stops have one line together. Thread safe.
 */
final class ClosedLinkLog {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    static final long WINDOW_MS = 5_000;

    /** @param reason without numbers, which differ from link to link */
    private record Cause(PeerTarget target, ResultCode code, String reason) {}

    private static final class Repeats {
        private int links;
        private long outstandingCalls;
        private String latestReason = "";
    }

    private final EventLoopGroup group;
    private final Map<Cause, Repeats> recent = new HashMap<>();
    private int closingLinks;
    private int closedLinks;
    private long closedOutstandingCalls;

    ClosedLinkLog(EventLoopGroup group) {
        this.group = group;
    }

    /** Notes a link that ended for a reason other than a stop of this daemon. */
    synchronized void closed(PeerTarget target, ResultCode code, int outstandingCalls, String reason) {
        Cause cause = new Cause(target, code, reason.replaceAll("[0-9]+", "N"));
        Repeats repeats = recent.get(cause);
        if (repeats != null) {
            repeats.links++;
            repeats.outstandingCalls += outstandingCalls;
            repeats.latestReason = reason;
            return;
        }
        write(cause, 1, outstandingCalls, reason);
        recent.put(cause, new Repeats());
        try {
            group.next().schedule(() -> endWindow(cause), WINDOW_MS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The event loops end, so nobody would write the repeats.
            recent.remove(cause);
        }
    }

    private synchronized void endWindow(Cause cause) {
        Repeats repeats = recent.remove(cause);
        if (repeats != null && repeats.links > 0) {
            write(cause, repeats.links, repeats.outstandingCalls, repeats.latestReason);
        }
    }

    /** Notes that this daemon stops, and writes what waits for the end of its window. */
    synchronized void stopping(int links) {
        closingLinks += links;
        recent.keySet().stream().toList().forEach(this::endWindow);
    }

    /** Notes a link that this daemon closed because it stops. */
    synchronized void closedByStop(int outstandingCalls) {
        closedLinks++;
        closedOutstandingCalls += outstandingCalls;
    }

    /** Notes the end of a link that was open when this daemon stopped, whatever the reason. */
    synchronized void stopFinished() {
        closingLinks--;
        if (closingLinks == 0 && closedLinks > 0) {
            logger.atInfo().log(
                    "event=link-closed peer=all code=%s links=%d outstanding=%d reason=\"%s\"",
                    ResultCode.LINK_LOST, closedLinks, closedOutstandingCalls, PeerLink.CLOSED_BY_THIS_DAEMON);
            closedLinks = 0;
            closedOutstandingCalls = 0;
        }
    }

    private static void write(Cause cause, int links, long outstandingCalls, String reason) {
        logger.atInfo().log(
                "event=link-closed peer=%s address=%s code=%s links=%d outstanding=%d reason=\"%s\"",
                cause.target().member(), cause.target().address(), cause.code(), links, outstandingCalls, reason);
    }
}
