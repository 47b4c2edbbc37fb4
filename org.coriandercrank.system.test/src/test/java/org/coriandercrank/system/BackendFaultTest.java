package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.ownership.GateStatus.ServingRange;
import org.coriandercrank.load.CallRecord;
import org.coriandercrank.load.LoadReport;
import org.coriandercrank.testkit.ClusterHost;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a faulty backend server beside a live daemon that makes outcomes untrue, disturbs the keys of other
 * servers, or stays unused after its recovery. The faults strike one site in turn.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BackendFaultTest {
    private static final long FAULT_MS = 2_000;
    private static final long BEFORE_MS = 1_000;
    private static final long AFTER_MS = 2_500;
    private static final long SERVED_AGAIN_LIMIT_MS = 5_000;

    /** A fault of the backend server of a host; it ends with {@link #end}. */
    enum Fault {
        FROZEN {
            @Override
            void begin(TestCluster site, ClusterHost host) {
                host.backend().freeze();
            }

            @Override
            void end(TestCluster site, ClusterHost host) {
                host.backend().resume();
            }
        },
        KILLED_AND_RESTARTED {
            @Override
            void begin(TestCluster site, ClusterHost host) {
                host.backend().kill();
            }

            @Override
            void end(TestCluster site, ClusterHost host) {
                host.startBackend(TestCluster.DEFAULT_BACKEND_FLAGS);
            }
        },
        SLOW("{\"kind\":\"slow\",\"delayMs\":400}"),
        ANSWERS_CUT("{\"kind\":\"cut-answer\",\"probability\":0.5}"),
        UNANSWERED("{\"kind\":\"unanswered\",\"probability\":0.5}"),
        CONNECTIONS_CLOSED("{\"kind\":\"closed\"}"),
        SHEDDING("{\"kind\":\"shed\"}"),
        HEALTHY_BY_ITS_REPORT_ONLY("{\"kind\":\"shed\"}") {
            @Override
            void begin(TestCluster site, ClusterHost host) {
                report(site, host, "{\"healthy\":true,\"draining\":false,\"load\":0}");
                super.begin(site, host);
            }
        },
        UNHEALTHY_BY_ITS_REPORT_ONLY {
            @Override
            void begin(TestCluster site, ClusterHost host) {
                report(site, host, "{\"healthy\":false,\"draining\":true,\"load\":1000}");
            }
        };

        private final String fault;

        Fault() {
            this("{\"kind\":\"up\"}");
        }

        Fault(String fault) {
            this.fault = fault;
        }

        void begin(TestCluster site, ClusterHost host) {
            site.backendFault(host, fault);
        }

        void end(TestCluster site, ClusterHost host) {
            site.backendFault(host, "{\"kind\":\"up\"}");
            site.call("DELETE", host.backendAddress(), "/admin/health", "");
        }

        private static void report(TestCluster site, ClusterHost host, String health) {
            site.call("POST", host.backendAddress(), "/admin/health", health);
        }
    }

    private TestCluster site;

    @BeforeAll
    void startSite(@TempDir Path directory) {
        site = TestCluster.start(directory, "r1/a", "r1/a", "r1/b");
    }

    @AfterAll
    void closeSite() {
        site.close();
    }

    @ParameterizedTest
    @EnumSource
    void faultOfAServerStaysTruthfulLocalAndEnds(Fault fault) {
        ClusterHost faulty = site.host(0);
        site.waitUntil("the server has ranges", () -> !ownedKeys(faulty).isEmpty());
        Set<String> keysOfFaulty = ownedKeys(faulty);
        Traffic traffic = Traffic.start(site, site.callerAddresses(), BEFORE_MS + FAULT_MS + AFTER_MS, 0);
        TestCluster.sleep(BEFORE_MS);
        fault.begin(site, faulty);
        TestCluster.sleep(FAULT_MS);
        fault.end(site, faulty);
        long recoveredMs = msUntilServed(keysOfFaulty);
        LoadReport report = traffic.finish();

        report.toLines().forEach(line -> System.out.println(fault + ": " + line));
        System.out.println(fault + ": all keys served " + recoveredMs + " ms after the end of the fault");
        List<CallRecord> otherKeys = traffic.calls().stream()
                .filter(call -> !keysOfFaulty.contains(call.key()))
                .toList();
        assertThat(report.violations()).isEmpty();
        assertThat(keysOfFaulty).isNotEmpty();
        assertThat(otherKeys).isNotEmpty().allMatch(CallRecord::succeeded);
        assertThat(recoveredMs).isLessThanOrEqualTo(SERVED_AGAIN_LIMIT_MS);
        if (fault == Fault.UNHEALTHY_BY_ITS_REPORT_ONLY) {
            assertThat(report.succeeded()).isEqualTo(report.calls());
        }
    }

    private Set<String> ownedKeys(ClusterHost host) {
        List<ServingRange> serving = site.status(host).serving();
        return IntStream.range(0, Traffic.KEYS)
                .mapToObj(number -> "key-" + number)
                .filter(key -> serving.stream().anyMatch(s -> s.range().contains(new Key(key).hash())))
                .collect(Collectors.toSet());
    }

    private long msUntilServed(Set<String> keys) {
        long startedNanos = System.nanoTime();
        site.waitUntil("keys are served after the fault", () -> keys.stream().allMatch(this::isServed));
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    private boolean isServed(String key) {
        return site.call("GET", site.host(1).callerAddress(), "/v1/" + TestCluster.SERVICE + "/" + key, "")
                .headers()
                .firstValue("crank-result")
                .orElse("")
                .equals("0");
    }
}
