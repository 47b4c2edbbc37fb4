package org.coriandercrank.ingress.internal.routing;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.kernel.code.ResultCode;

/** Metrics of the caller side. Thread safe. */
public final class IngressMetrics {
    private final MeterRegistry meters;
    private final Map<ServiceAndCode, Counter> requests = new ConcurrentHashMap<>();
    private final Map<String, Timer> latencies = new ConcurrentHashMap<>();
    private final DistributionSummary reportAgeMs;
    private final Counter forwards;
    private final Counter extraHops;
    private final Counter outcomeQueries;
    private final Counter retries;
    private final Counter retryBudgetRefusals;

    /** Tags of the request counter. */
    private record ServiceAndCode(String service, ResultCode code) {}

    public IngressMetrics(MeterRegistry meters) {
        this.meters = meters;
        reportAgeMs = meters.summary("crank.ingress.report.age.ms");
        forwards = meters.counter("crank.ingress.forwards");
        extraHops = meters.counter("crank.ingress.extra.hops");
        outcomeQueries = meters.counter("crank.ingress.outcome.queries");
        retries = meters.counter("crank.ingress.retries");
        retryBudgetRefusals = meters.counter("crank.ingress.retry.budget.refusals");
    }

    public void registerGauges(
            Supplier<Number> inFlight,
            Supplier<Number> excludedServers,
            ToDoubleFunction<IngressMetrics> abandoned,
            ToDoubleFunction<IngressMetrics> reservedPlacements) {
        FunctionCounter.builder("crank.ingress.abandoned", this, abandoned).register(meters);
        FunctionCounter.builder("crank.ingress.reserved.placements", this, reservedPlacements)
                .register(meters);
        FunctionCounter.builder("crank.http.rejected.responses", this, metrics -> HttpClient.rejectedResponses())
                .register(meters);
        Gauge.builder("crank.ingress.in.flight", inFlight).register(meters);
        Gauge.builder("crank.ingress.excluded.servers", excludedServers).register(meters);
    }

    /**
     * Counts an answered request and records its latency.
     *
     * @param service name of a configured service, or {@code none} for a request without one
     */
    public void recordRequest(String service, ResultCode code, long latencyNanos) {
        requests.computeIfAbsent(
                        new ServiceAndCode(service, code),
                        key -> meters.counter(
                                "crank.ingress.requests", "service", service, "code", Integer.toString(code.number())))
                .increment();
        latencies
                .computeIfAbsent(
                        service,
                        name -> Timer.builder("crank.ingress.latency")
                                .tag("service", name)
                                .register(meters))
                .record(latencyNanos, TimeUnit.NANOSECONDS);
    }

    /** Records the age of the load report on which the choice of a server was based. */
    void recordReportAge(long ageMs) {
        reportAgeMs.record((double) ageMs);
    }

    public void countForward() {
        forwards.increment();
    }

    public void countExtraHop() {
        extraHops.increment();
    }

    public void countOutcomeQuery() {
        outcomeQueries.increment();
    }

    public void countRetry() {
        retries.increment();
    }

    public void countRetryBudgetRefusal() {
        retryBudgetRefusals.increment();
    }
}
