package org.coriandercrank.ingress.internal.routing;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.coriandercrank.kernel.code.ResultCode;

/** Meters of the caller side. Thread safe. */
public final class IngressMetrics {
    private final MeterRegistry meters;
    private final Map<ServiceAndCode, Counter> requests = new ConcurrentHashMap<>();
    private final Map<String, Timer> latencies = new ConcurrentHashMap<>();
    private final Counter forwards;
    private final Counter extraHops;
    private final Counter outcomeQueries;
    private final Counter retries;
    private final Counter budgetRefusals;

    /** Tags of the request counter. */
    private record ServiceAndCode(String service, ResultCode code) {}

    public IngressMetrics(MeterRegistry meters) {
        this.meters = meters;
        forwards = meters.counter("crank.ingress.forwards");
        extraHops = meters.counter("crank.ingress.extra.hops");
        outcomeQueries = meters.counter("crank.ingress.outcome.queries");
        retries = meters.counter("crank.ingress.retries");
        budgetRefusals = meters.counter("crank.ingress.retry.budget.refusals");
    }

    public void registerGauges(Supplier<Number> inFlight, Supplier<Number> excludedServers) {
        Gauge.builder("crank.ingress.in.flight", inFlight).register(meters);
        Gauge.builder("crank.ingress.excluded.servers", excludedServers).register(meters);
    }

    /** @param service name of a configured service, or {@code none} for a request without one */
    public void finished(String service, ResultCode code, long latencyNanos) {
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

    public void forwarded() {
        forwards.increment();
    }

    public void extraHop() {
        extraHops.increment();
    }

    public void outcomeQuery() {
        outcomeQueries.increment();
    }

    public void retried() {
        retries.increment();
    }

    public void budgetRefusal() {
        budgetRefusals.increment();
    }
}
