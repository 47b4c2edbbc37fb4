package org.coriandercrank.adapters;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.BackendInfo.Capability;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.standin.internal.BackendOptions;
import org.coriandercrank.standin.internal.BackendService;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against executions of {@code crank-backend} that end after the validity of its grant: a process can be
 * suspended between any two of its steps, also between the checks at the end of a request and its ledger entry.
 */
class SuspendedBackendServerTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long SERVICE_MS = 15;
    private static final long VALIDITY_MS = 2_000;
    private static final long SUSPENSION_MS = 6_000;

    /** What limits the execution of the request besides the grant; it outlasts the suspension or ends during it. */
    enum Deadline {
        AFTER_SUSPENSION("10000"),
        DURING_SUSPENSION("3000");

        private final String ms;

        Deadline(String ms) {
            this.ms = ms;
        }
    }

    @ParameterizedTest
    @EnumSource
    void noExecutionEndsAfterTheGrantWhereverTheProcessIsSuspended(Deadline deadline) {
        int readings = 0;
        while (isSuspendedDuringRequest(readings, deadline)) {
            readings++;
        }
        assertThat(readings).as("readings of the clock during a request").isGreaterThan(3);
    }

    /**
     * Executes a request in a process that is suspended before a reading of its clock; returns false if the request
     * needs fewer readings.
     *
     * @param readings number of readings from the arrival of the request to the suspension
     */
    private static boolean isSuspendedDuringRequest(int readings, Deadline deadline) {
        try (ServerProcess process = new ServerProcess()) {
            process.grant(1);
            assertThat(process.execute("r1", "PUT", "old", deadline).status()).isEqualTo(200);
            long validUntilNanos = process.grant(2);

            process.clock.suspendAfter(readings);
            boolean executed = process.execute("r2", "PUT", "new", deadline).status() == 200;
            boolean suspended = process.clock.endSuspensions();

            assertThat(process.ledgerEndsNanos())
                    .as("ends of executions, suspension after reading %d", readings)
                    .hasSize(executed ? 2 : 1)
                    .allSatisfy(endNanos -> assertThat(endNanos).isLessThan(validUntilNanos));
            process.grant(3);
            assertThat(new String(process.execute("r3", "GET", "", deadline).body(), StandardCharsets.UTF_8))
                    .isEqualTo(executed ? "new" : "old");
            return suspended;
        }
    }

    /** Clock of a process that is suspended before a chosen reading. Confined to the executor of the server and to the
     * test while the executor is idle. */
    private static final class SuspendedClock implements MonotonicClock {
        private static final int NEVER = Integer.MAX_VALUE;
        private static final long READING_NANOS = 1_000;

        private long nanos;
        private int readingsToSuspension = NEVER;
        private boolean suspended;

        @Override
        public synchronized long nowNanos() {
            if (readingsToSuspension != NEVER && readingsToSuspension-- == 0) {
                nanos += SUSPENSION_MS * NANOS_PER_MS;
                readingsToSuspension = NEVER;
                suspended = true;
            }
            nanos += READING_NANOS;
            return nanos;
        }

        synchronized void advanceMs(long ms) {
            nanos += ms * NANOS_PER_MS;
        }

        synchronized void suspendAfter(int readings) {
            readingsToSuspension = readings;
        }

        /** Returns whether the process was suspended. */
        synchronized boolean endSuspensions() {
            readingsToSuspension = NEVER;
            return suspended;
        }
    }

    /** Runs tasks when the test says so. Not thread safe apart from the hand-over of tasks. */
    private static final class ManualTimers implements TimerService {
        private final MonotonicClock clock;
        private final List<Runnable> tasks = new ArrayList<>();

        ManualTimers(MonotonicClock clock) {
            this.clock = clock;
        }

        @Override
        public MonotonicClock clock() {
            return clock;
        }

        @Override
        public Subscription every(long periodMs, Executor executor, Runnable task) {
            return () -> {};
        }

        /** Keeps the tasks that end a service time; those of deadlines are left out, so that the checks decide. */
        @Override
        public synchronized Subscription once(long delayMs, Executor executor, Runnable task) {
            if (delayMs == SERVICE_MS) {
                tasks.add(() -> executor.execute(task));
            }
            return () -> {};
        }

        synchronized void runAll() {
            tasks.forEach(Runnable::run);
            tasks.clear();
        }

        @Override
        public void close() {}
    }

    /** A server without sockets that honours the validity of grants, but not fences, on a clock of the test. */
    private static final class ServerProcess implements AutoCloseable {
        private final SuspendedClock clock = new SuspendedClock();
        private final ManualTimers timers = new ManualTimers(clock);
        private final SingleThreadExecutor executor = new SingleThreadExecutor("backend", 64);
        private final BackendService service = new BackendService(
                new BackendOptions(
                        new BackendInfo(
                                "desk-3",
                                new ServiceName("counter-desk"),
                                new HostAddress("127.0.0.1", 1),
                                1,
                                8,
                                Set.of(Capability.VALIDITY, Capability.CANCEL, Capability.DEADLINE)),
                        /* queueLimit= */ 8,
                        SERVICE_MS,
                        /* coldStartMs= */ 0,
                        /* coldStartFactor= */ 1,
                        /* healthLagMs= */ 0,
                        /* faultSeed= */ 1,
                        /* ledgerFile= */ "",
                        /* crashPath= */ ""),
                executor,
                timers);

        /** Grants all keys; returns a time that is not before the end of the validity. */
        long grant(long sequence) {
            Grant grant = new Grant(sequence, List.of(new GrantedRange(KeyRange.ALL, new Generation(1))), VALIDITY_MS);
            HttpResponse response = send(new HttpRequest("PUT", "/control/grant", List.of(), JsonCodec.encode(grant)))
                    .join();
            assertThat(response.status()).isEqualTo(200);
            return clock.nowNanos() + VALIDITY_MS * NANOS_PER_MS;
        }

        HttpResponse execute(String requestId, String method, String body, Deadline deadline) {
            List<Header> headers = List.of(
                    new Header("crank-request-id", requestId),
                    new Header("crank-key", "key-0"),
                    new Header("crank-fence", "1"),
                    new Header("crank-deadline-ms", deadline.ms));
            CompletableFuture<HttpResponse> response =
                    send(new HttpRequest(method, "/", headers, body.getBytes(StandardCharsets.UTF_8)));
            clock.advanceMs(SERVICE_MS);
            timers.runAll();
            return response.orTimeout(10, TimeUnit.SECONDS).join();
        }

        List<Long> ledgerEndsNanos() {
            byte[] lines = send(HttpRequest.of("GET", "/ledger")).join().body();
            return new String(lines, StandardCharsets.UTF_8)
                    .lines()
                    .map(line -> JsonCodec.decode(line.getBytes(StandardCharsets.UTF_8), JsonNode.class))
                    .map(entry -> entry.path("endNanos").asLong())
                    .toList();
        }

        /** Sends a request; returns when the server has done what it does on arrival. */
        private CompletableFuture<HttpResponse> send(HttpRequest request) {
            CompletableFuture<HttpResponse> response = service.handle(request, new CompletableFuture<>());
            CompletableFuture<Void> idle = new CompletableFuture<>();
            executor.execute(() -> idle.complete(null));
            idle.join();
            return response;
        }

        @Override
        public void close() {
            executor.close();
            service.close();
        }
    }
}
