package org.coriandercrank.gate.internal;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.stream.Collectors;
import org.coriandercrank.gate.internal.Execution.AttachedBackend;
import org.coriandercrank.gate.internal.LostCalls.Verdict;
import org.coriandercrank.kernel.backend.ProbeResult;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.request.CallerAnswer;

/**
 * Probes the backend server after calls without an answer, and reports a crash with the requests that may have caused it.
 * {@link LostCalls} decides.
 *
 * <p>Invariant: the end of a server that has announced it is not reported. Not thread safe.
 */
final class CrashDetector {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** In this time a busy server answers another call, so that no probe is needed. */
    private static final long PROBE_DELAY_MS = 50;

    /** From this status on, an answer does not prove that the server completed the request. */
    private static final int SERVER_ERROR_STATUS = 500;

    private final GateContext context;
    private final DrainState drainState;
    private final LostCalls lostCalls = new LostCalls();
    private final RecentAnswers recentAnswers;
    private AttachedBackend backend;
    private boolean leaving;
    private boolean checkPending;

    /** The server whose crash was reported last. Calls that it got after the report run at the server that follows it. */
    private AttachedBackend crashedBackend;

    private long crashReportedAtNanos;

    CrashDetector(GateContext context, DrainState drainState) {
        this.context = context;
        this.drainState = drainState;
        recentAnswers = new RecentAnswers(context.nowNanos());
    }

    void attach(AttachedBackend newBackend) {
        backend = newBackend;
        leaving = false;
        lostCalls.clear();
    }

    void detach() {
        backend = null;
        lostCalls.clear();
    }

    /** Notes that the server will end as planned. */
    void onLeaving() {
        leaving = true;
        lostCalls.clear();
    }

    /**
     * Reports a crash if the server has ended without having announced it and calls ran at it, also if their loss has not
     * been noticed yet. Called when another server has taken its place; what runs then is not counted if the crash was
     * reported before.
     *
     * @param running the calls that run at present
     */
    void onServerEnded(List<Execution> running, long nowNanos) {
        if (backend == null || leaving || backend.equals(crashedBackend)) {
            return;
        }
        lostCalls.onServerReplaced(nowNanos);
        running.stream()
                .filter(execution -> execution.backend().equals(backend) && !isPlannedOrOverdue(execution, nowNanos))
                .forEach(execution -> lostCalls.add(execution, nowNanos));
        if (!lostCalls.isEmpty()) {
            reportCrash();
        }
    }

    /** Handles the end of a call with its final answer. */
    void onCallEnd(Execution execution, CallerAnswer answer, long nowNanos) {
        if (answer.outcome() == Outcome.RUN) {
            onAnswered(execution, answer, nowNanos);
        } else if (answer.outcome() == Outcome.UNKNOWN
                && ranAtCurrentServer(execution)
                && !isPlannedOrOverdue(execution, nowNanos)) {
            onCallLost(execution, nowNanos);
        }
    }

    private boolean ranAtCurrentServer(Execution execution) {
        if (backend == null) {
            return false;
        }
        return execution.backend().equals(crashedBackend)
                ? execution.startedAtNanos() - crashReportedAtNanos > 0
                : execution.backend().equals(backend);
    }

    private void onAnswered(Execution execution, CallerAnswer answer, long nowNanos) {
        if (ranAtCurrentServer(execution)) {
            lostCalls.onAnswer(execution);
        }
        if (answer.status() < SERVER_ERROR_STATUS) {
            execution.request().fingerprint().ifPresent(request -> {
                recentAnswers.add(request, nowNanos);
                context.dependencies().quarantine().recordAnswer(request);
            });
        }
    }

    private boolean isPlannedOrOverdue(Execution execution, long nowNanos) {
        return leaving
                || execution.isCancelRequested()
                || nowNanos - execution.deadlineNanos() >= 0
                || drainState.isDrainedByRule(backend);
    }

    private void onCallLost(Execution execution, long nowNanos) {
        lostCalls.add(execution, nowNanos);
        context.logDecision(() -> "event=call-lost request="
                + execution.request().id() + " fingerprint="
                + execution.request().fingerprint().map(Object::toString).orElse("-") + " backend="
                + backend.info().name());
        checkLater();
    }

    private void checkLater() {
        if (!checkPending) {
            checkPending = true;
            context.dependencies().timers().once(PROBE_DELAY_MS, context.executor(), this::check);
        }
    }

    private void check() {
        if (lostCalls.isEmpty()) {
            checkPending = false;
            return;
        }
        AttachedBackend probed = backend;
        long probedAtNanos = context.nowNanos();
        context.call(() -> probed.server().probe(), (result, failure) -> {
            checkPending = false;
            if (failure != null) {
                logger.atWarning().withCause(failure).log(
                        "event=probe-failed backend=%s", probed.info().name());
            }
            if (probed.equals(backend)) {
                onProbeResult(failure == null ? result : ProbeResult.SILENT, probedAtNanos);
            }
        });
    }

    private void onProbeResult(ProbeResult result, long probedAtNanos) {
        Verdict verdict = lostCalls.onProbe(result, probedAtNanos);
        context.logDecision(
                () -> "event=probe backend=" + backend.info().name() + " result=" + result + " verdict=" + verdict);
        switch (verdict) {
            case CRASH -> reportCrash();
            case UNDECIDED -> checkLater();
            case NO_CRASH -> {}
        }
    }

    private void reportCrash() {
        List<RequestFingerprint> candidates = lostCalls.candidates(recentAnswers, context.nowNanos());
        logger.atWarning().log(
                "event=server-crashed backend=%s running=%s candidates=%s",
                backend.info().name(),
                lostCalls.size(),
                candidates.stream().map(Object::toString).collect(Collectors.joining(",")));
        lostCalls.clear();
        crashedBackend = backend;
        crashReportedAtNanos = context.nowNanos();
        context.metrics().onServerCrash();
        context.dependencies().quarantine().recordCrash(context.routing().self(), candidates);
    }
}
