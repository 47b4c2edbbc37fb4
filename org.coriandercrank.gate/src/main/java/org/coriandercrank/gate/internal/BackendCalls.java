package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.coriandercrank.gate.internal.Execution.AttachedBackend;
import org.coriandercrank.gate.internal.Execution.ReleasePolicy;
import org.coriandercrank.gate.internal.Execution.State;

/**
 * The calls that run at backend servers, and those that may still run because their answer was lost. Not thread safe.
 *
 * <p>Invariant: a call is in at most one of the two sets.
 */
final class BackendCalls {
    private final Set<Execution> running = new LinkedHashSet<>();
    private final List<Execution> lost = new ArrayList<>();

    void onStart(Execution call) {
        running.add(call);
    }

    /** @param answerLost whether the call may still run */
    void onEnd(Execution call, boolean answerLost) {
        running.remove(call);
        call.end(answerLost ? State.LOST : State.ENDED);
        if (answerLost) {
            lost.add(call);
        }
    }

    int running() {
        return running.size();
    }

    List<Execution> runningCalls() {
        return List.copyOf(running);
    }

    boolean anyRunning(Predicate<Execution> condition) {
        return running.stream().anyMatch(condition);
    }

    boolean isInUse(AttachedBackend backend) {
        return running.stream().anyMatch(call -> call.backend().equals(backend));
    }

    /** Number of running calls at the address of a backend server. */
    int runningAtAddressOf(AttachedBackend backend) {
        int count = 0;
        for (Execution call : running) {
            if (call.backend().info().address().equals(backend.info().address())) {
                count++;
            }
        }
        return count;
    }

    /** Returns the calls that run or may still run. */
    List<Execution> unsettled() {
        List<Execution> unsettled = new ArrayList<>(running);
        unsettled.addAll(lost);
        return unsettled;
    }

    /** Forgets the lost calls that certainly do not run any more. */
    void removeSettled(ReleasePolicy policy, long nowNanos) {
        lost.removeIf(call -> call.isSettled(policy, false, nowNanos));
    }
}
