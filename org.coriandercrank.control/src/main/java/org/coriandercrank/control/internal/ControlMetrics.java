package org.coriandercrank.control.internal;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.coriandercrank.kernel.ownership.ConfigurationProof;

/** Metrics of the control plane. Thread safe. */
public final class ControlMetrics {
    private final MeterRegistry registry;
    private final Counter heartbeats;
    private final Counter refusals;
    private final Counter seals;
    private final Counter endedIncarnations;
    private final Counter fetches;
    private final Counter recordWrites;
    private final Counter storeReturns;
    private final Counter missingAnswers;
    private final Counter missedChanges;

    public ControlMetrics(
            MeterRegistry registry,
            Supplier<Number> leaseRemainingMs,
            Supplier<Number> takeovers,
            Supplier<Number> quarantinedRequests) {
        this.registry = registry;
        heartbeats = registry.counter("crank.control.heartbeats.sent");
        refusals = registry.counter("crank.control.refusals");
        seals = registry.counter("crank.control.seals");
        endedIncarnations = registry.counter("crank.control.incarnations.ended");
        fetches = registry.counter("crank.control.fetches");
        storeReturns = registry.counter("crank.control.store.returns");
        recordWrites = registry.counter("crank.control.record.writes");
        missingAnswers = registry.counter("crank.control.store.answers.missing");
        missedChanges = registry.counter("crank.control.changes.missed");
        Gauge.builder("crank.lease.remaining.ms", leaseRemainingMs).register(registry);
        Gauge.builder("crank.control.takeovers.running", takeovers).register(registry);
        Gauge.builder("crank.control.quarantined.requests", quarantinedRequests).register(registry);
    }

    /**
     * Registers what is known about the configuration.
     *
     * @param proof its age is not a number as long as there is no proof
     */
    public void registerConfiguration(Supplier<Number> version, ConfigurationProof proof) {
        Gauge.builder("crank.configuration.version", version).register(registry);
        Gauge.builder("crank.configuration.proof.age.ms", () -> proofAgeMs(proof))
                .register(registry);
    }

    /** Registers the number of failure domains that the operator evacuates, as this daemon knows it. */
    public void registerEvacuations(Supplier<Number> evacuatedDomains) {
        Gauge.builder("crank.control.evacuated.domains", evacuatedDomains).register(registry);
    }

    private static Number proofAgeMs(ConfigurationProof proof) {
        OptionalLong ageMs = proof.ageMs();
        return ageMs.isPresent() ? (double) ageMs.getAsLong() : Double.NaN;
    }

    public void heartbeatSent() {
        heartbeats.increment();
    }

    public void refusalGranted() {
        refusals.increment();
    }

    public void memberSealed() {
        seals.increment();
    }

    public void incarnationEnded() {
        endedIncarnations.increment();
    }

    public void fetched() {
        fetches.increment();
    }

    /** Counts a new era of the store. */
    public void storeReturned() {
        storeReturns.increment();
    }

    /** Counts a listing or watch that the store did not answer in time. */
    public void storeAnswerMissing() {
        missingAnswers.increment();
    }

    /** Counts changes that the store had withheld from an earlier watch. */
    public void changesMissed(int count) {
        missedChanges.increment(count);
    }

    public void recordWritten() {
        recordWrites.increment();
    }
}
