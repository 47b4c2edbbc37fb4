package org.coriandercrank.control.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.FetchObject;

/**
 * Synchronization state of the control objects of one kind: outstanding calls to the store, and when which position was
 * reached.
 *
 * <p>Invariants: at most two calls are outstanding, the second only while the first is overdue. An answer ends the calls
 * that were started before it. Control thread only.
 */
final class KindSync {
    static final long INITIAL_RETRY_MS = 200;

    private static final int MAX_CALLS = 2;

    /** A change that the store withholds is reported within this time. */
    private static final long OVERLAP_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Below the time for which the store keeps its history. */
    private static final long MAX_REREAD_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(15);

    private record Reached(Revision position, long atNanos) {}

    private final FetchObject.Kind kind;
    private final List<StoreCall> calls = new ArrayList<>();

    /** Positions of about the last {@link #OVERLAP_NANOS}, the oldest of which is older than that if there is one. */
    private final Deque<Reached> reached = new ArrayDeque<>();

    private boolean listed;
    private boolean fallback;
    private boolean unanswered;
    private long retryMs = INITIAL_RETRY_MS;
    private long retryAtNanos;
    private long lastAdvanceNanos;
    private long lastPeerAdvanceNanos;
    private long lastRereadNanos;

    /** Changes after this position have been read at most once. */
    private Revision rereadFrom = Revision.NONE;

    /** Where {@link #rereadFrom} will be after the answer to the latest watch. */
    private Revision rereadUpTo = Revision.NONE;

    private OptionalLong fetchStartedNanos = OptionalLong.empty();
    private OptionalLong outdatedSinceNanos = OptionalLong.empty();

    KindSync(FetchObject.Kind kind, long nowNanos) {
        this.kind = kind;
        retryAtNanos = nowNanos;
        lastAdvanceNanos = nowNanos;
        lastPeerAdvanceNanos = nowNanos;
        lastRereadNanos = nowNanos;
    }

    FetchObject.Kind kind() {
        return kind;
    }

    boolean isListed() {
        return listed;
    }

    void setListed() {
        listed = true;
    }

    /** Whether this daemon watches the kind because no peer informs it. */
    boolean isFallback() {
        return fallback;
    }

    void setFallback(boolean newFallback) {
        fallback = newFallback;
    }

    /** Returns the call that was started last, if it has no answer yet. */
    Optional<StoreCall> latestCall() {
        return calls.isEmpty() ? Optional.empty() : Optional.of(calls.get(calls.size() - 1));
    }

    boolean hasCalls() {
        return !calls.isEmpty();
    }

    /** Whether a second call may be started beside an overdue one; not while the store fails repeatedly. */
    boolean mayAddCall() {
        return calls.size() < MAX_CALLS && retryMs == INITIAL_RETRY_MS;
    }

    void add(StoreCall call) {
        calls.add(call);
    }

    /** Removes a call that has ended. */
    void remove(StoreCall call) {
        calls.remove(call);
    }

    /** Cancels the calls that were started before another one. */
    void cancelCallsBefore(StoreCall later) {
        for (Iterator<StoreCall> i = calls.iterator(); i.hasNext(); ) {
            StoreCall call = i.next();
            if (call.startedNanos() - later.startedNanos() < 0) {
                i.remove();
                call.cancel();
            }
        }
    }

    void cancelCalls() {
        List<StoreCall> cancelled = List.copyOf(calls);
        calls.clear();
        cancelled.forEach(StoreCall::cancel);
    }

    /** Whether the latest call was not answered, so that the next one must not wait for a change. */
    boolean isUnanswered() {
        return unanswered;
    }

    void setUnanswered() {
        unanswered = true;
    }

    boolean isRetryDue(long nowNanos) {
        return nowNanos - retryAtNanos >= 0;
    }

    void retryAt(long nanos) {
        retryAtNanos = nanos;
    }

    long retryMs() {
        return retryMs;
    }

    /** Notes a failed call, and doubles the delay before the next retry up to a limit. */
    void failed(long maxRetryMs) {
        unanswered = true;
        retryMs = Math.min(2 * retryMs, Math.max(INITIAL_RETRY_MS, maxRetryMs));
    }

    void answered() {
        unanswered = false;
        retryMs = INITIAL_RETRY_MS;
    }

    /** Notes that every change up to a position is known. */
    void positionReached(Revision position, long nowNanos) {
        lastAdvanceNanos = nowNanos;
        reached.addLast(new Reached(position, nowNanos));
        dropOldPositions(nowNanos);
    }

    /** Notes that a complete listing was read, in which nothing can have been withheld. */
    void listingRead(Revision upTo, long nowNanos) {
        lastRereadNanos = nowNanos;
        reached.clear();
        rereadFrom = upTo;
        rereadUpTo = Revision.NONE;
    }

    private void dropOldPositions(long nowNanos) {
        while (reached.size() > 1) {
            Iterator<Reached> i = reached.iterator();
            i.next();
            if (nowNanos - i.next().atNanos() < OVERLAP_NANOS) {
                return;
            }
            reached.removeFirst();
        }
    }

    long lastAdvanceNanos() {
        return lastAdvanceNanos;
    }

    /** Notes that the store has nothing newer. */
    void confirmed(long nowNanos) {
        lastAdvanceNanos = nowNanos;
    }

    long lastPeerAdvanceNanos() {
        return lastPeerAdvanceNanos;
    }

    void advancedByPeer(long nowNanos) {
        lastPeerAdvanceNanos = nowNanos;
    }

    /**
     * Returns the position from which the next watch asks for changes. It lies before the present one, because a store
     * that withholds changes for a moment names a position that passes them. A watch that reads known changes again is
     * answered at once, so kinds of several objects are read again only while they do not change, or after a time.
     *
     * @param position revision up to which every change is known
     * @param latestObject highest revision of a known object of the kind
     */
    Revision watchAfter(Revision position, Revision latestObject, long nowNanos) {
        dropOldPositions(nowNanos);
        Revision settled = reached.isEmpty() ? position : reached.peekFirst().position();
        rereadUpTo = Revision.NONE;
        if (!settled.era().equals(position.era()) || settled.isNewerThan(position)) {
            return position;
        }
        if (kind == FetchObject.Kind.CONFIGURATION) {
            boolean knownObject = latestObject.isNewerThan(settled) && !latestObject.isNewerThan(position);
            return knownObject ? latestObject : settled;
        }
        long sinceRereadNanos = nowNanos - lastRereadNanos;
        if (sinceRereadNanos > 2 * MAX_REREAD_INTERVAL_NANOS) {
            // This daemon has not watched the kind, and the store may no longer have the history since it last did.
            rereadFrom = settled;
        }
        boolean due = sinceRereadNanos >= MAX_REREAD_INTERVAL_NANOS;
        boolean sameEra = rereadFrom.era().equals(position.era());
        if (!sameEra || rereadFrom.isNewerThan(position) || (latestObject.isNewerThan(rereadFrom) && !due)) {
            return position;
        }
        lastRereadNanos = nowNanos;
        rereadUpTo = settled;
        return rereadFrom;
    }

    /** Notes that the latest watch was answered with all changes after the position from which it asked. */
    void watchRead() {
        if (rereadUpTo.isNewerThan(rereadFrom)) {
            rereadFrom = rereadUpTo;
        }
    }

    /** Whether a fetch was started so recently that its answer may still come. */
    boolean isFetching(long nowNanos, long patienceNanos) {
        return fetchStartedNanos.isPresent() && nowNanos - fetchStartedNanos.getAsLong() < patienceNanos;
    }

    void fetchStarted(long nowNanos) {
        fetchStartedNanos = OptionalLong.of(nowNanos);
    }

    void fetchEnded() {
        fetchStartedNanos = OptionalLong.empty();
    }

    /** Returns for how long the store is known to be in a later era than the position. */
    long outdatedForNanos(boolean outdated, long nowNanos) {
        if (!outdated) {
            outdatedSinceNanos = OptionalLong.empty();
        } else if (outdatedSinceNanos.isEmpty()) {
            outdatedSinceNanos = OptionalLong.of(nowNanos);
        }
        return nowNanos - outdatedSinceNanos.orElse(nowNanos);
    }
}
