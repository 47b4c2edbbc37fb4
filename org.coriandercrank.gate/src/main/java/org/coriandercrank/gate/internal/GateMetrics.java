package org.coriandercrank.gate.internal;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.coriandercrank.kernel.code.ResultCode;

/** Metrics of a gate. Updated on the thread of the gate; may be read on any thread. */
public final class GateMetrics {
    private final MeterRegistry meters;
    private final Map<ResultCode, Counter> answers = new EnumMap<>(ResultCode.class);
    private final Counter executions;
    private final Counter grantFailures;
    private final Counter leaseRefusals;
    private final Counter serverCrashes;
    private final Counter linkRefusals;
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger records = new AtomicInteger();

    public GateMetrics(MeterRegistry meters) {
        this.meters = meters;
        executions = meters.counter("crank.gate.executions");
        grantFailures = meters.counter("crank.gate.grant.failures");
        leaseRefusals = meters.counter("crank.gate.lease.refusals");
        serverCrashes = meters.counter("crank.gate.server.crashes");
        linkRefusals = meters.counter("crank.gate.link.refusals");
        meters.gauge("crank.gate.queued", queued);
        meters.gauge("crank.gate.in.flight", inFlight);
        meters.gauge("crank.gate.records", records);
    }

    public void onAnswer(ResultCode code) {
        answers.computeIfAbsent(code, c -> meters.counter("crank.gate.answers", "code", c.name()))
                .increment();
        if (code == ResultCode.LEASE_LAPSED) {
            leaseRefusals.increment();
        }
    }

    public void onExecution() {
        executions.increment();
    }

    /** Counts a crash of the backend server while requests ran at it. */
    public void onServerCrash() {
        serverCrashes.increment();
    }

    /** Counts a request that was refused because its answer would wait too long for the link. */
    void onLinkRefusal() {
        linkRefusals.increment();
    }

    /** Counts a request that the backend server refused because of its load or in spite of it. */
    void onServerRefusal(ServerCapacity.Reaction reaction) {
        meters.counter("crank.gate.server.refusals", "reaction", reaction.name())
                .increment();
    }

    public void onGrantFailure() {
        grantFailures.increment();
    }

    public void setSizes(int newQueued, int newInFlight, int newRecords) {
        queued.set(newQueued);
        inFlight.set(newInFlight);
        records.set(newRecords);
    }

    public int queued() {
        return queued.get();
    }

    public int inFlight() {
        return inFlight.get();
    }
}
