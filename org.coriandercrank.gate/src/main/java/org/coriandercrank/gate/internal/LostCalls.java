package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coriandercrank.kernel.backend.ProbeResult;
import org.coriandercrank.kernel.id.RequestFingerprint;

/**
 * Decides whether a backend server crashed while requests ran at it, from calls that ended without an answer, later
 * answers and probes.
 *
 * <p>Such a call may mean a lost answer, a reset connection, a frozen server or a crash. The server crashed if nothing
 * listens at its address afterwards, or if another server has taken its place. A call does not count if the server
 * answered a call that was sent later. An answered probe proves less, because a new server may have answered it: the calls
 * before it count again if a new server becomes known within two seconds. Times are passed as arguments. Not thread safe.
 */
final class LostCalls {
    /** What the calls without an answer mean. */
    enum Verdict {
        /** The server is running, or does not show for a long time whether it is. */
        NO_CRASH,
        /** Another probe is needed. */
        UNDECIDED,
        CRASH
    }

    /** A server that neither accepts nor refuses connections for this many probes is frozen or unreachable. */
    private static final int MAX_SILENT_PROBES = 5;

    /** Longer than the interval between the heartbeats from which the daemon learns of a new server. */
    private static final long REPLACEMENT_NOTICE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private record LostCall(Execution execution, long lostAtNanos) {}

    private final List<LostCall> calls = new ArrayList<>();

    /** Calls that were lost before a probe that was answered. */
    private final List<LostCall> callsBeforeProbe = new ArrayList<>();

    private int silentProbes;

    boolean isEmpty() {
        return calls.isEmpty();
    }

    int size() {
        return calls.size();
    }

    void add(Execution execution, long nowNanos) {
        calls.add(new LostCall(execution, nowNanos));
    }

    void clear() {
        calls.clear();
        callsBeforeProbe.clear();
        silentProbes = 0;
    }

    /** Handles an answer of the server: it was running when it received the call. */
    void onAnswer(Execution answered) {
        calls.removeIf(lost -> answered.startedAtNanos() - lost.lostAtNanos() > 0);
        callsBeforeProbe.removeIf(lost -> answered.startedAtNanos() - lost.lostAtNanos() > 0);
    }

    /** Counts the latest calls before an answered probe again, because another server has taken the place of theirs. */
    void onServerReplaced(long nowNanos) {
        callsBeforeProbe.stream()
                .filter(lost -> nowNanos - lost.lostAtNanos() < REPLACEMENT_NOTICE_NANOS)
                .forEach(calls::add);
        callsBeforeProbe.clear();
    }

    /** Evaluates the result of a probe. After {@link Verdict#NO_CRASH} the calls are forgotten. */
    Verdict onProbe(ProbeResult result, long probedAtNanos) {
        silentProbes = result == ProbeResult.SILENT ? silentProbes + 1 : 0;
        if (result == ProbeResult.REFUSED) {
            return Verdict.CRASH;
        }
        if (result == ProbeResult.ANSWERED) {
            List<LostCall> beforeProbe = calls.stream()
                    .filter(lost -> probedAtNanos - lost.lostAtNanos() > 0)
                    .toList();
            calls.removeAll(beforeProbe);
            callsBeforeProbe.removeIf(lost -> probedAtNanos - lost.lostAtNanos() >= REPLACEMENT_NOTICE_NANOS);
            callsBeforeProbe.addAll(beforeProbe);
        }
        if (silentProbes >= MAX_SILENT_PROBES) {
            clear();
        }
        return calls.isEmpty() ? Verdict.NO_CRASH : Verdict.UNDECIDED;
    }

    /**
     * Returns the requests that may have caused the crash, those that began last first, each followed by the requests of
     * any caller with its content. What a server answered just before is not among them, because a request that crashes
     * servers has no answers.
     */
    List<RequestFingerprint> candidates(RecentAnswers recentAnswers, long nowNanos) {
        return calls.stream()
                .map(LostCall::execution)
                .sorted(Comparator.comparingLong(Execution::startedAtNanos).reversed())
                .flatMap(execution -> execution.request().fingerprint().stream())
                .flatMap(request -> Stream.of(request, request.ofAnyCaller()))
                .distinct()
                .filter(request -> !recentAnswers.contains(request, nowNanos))
                .toList();
    }
}
