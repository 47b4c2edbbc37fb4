package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.coriandercrank.load.LoadReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against owners that stop serving because the store is down, slow or cut off. */
class StoreFaultTest {
    private static final long OUTAGE_MS = 60_000;

    @TempDir
    Path directory;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"kind\":\"down\"}",
                "{\"kind\":\"slow\",\"delayMs\":5000}",
            })
    void ownersKeepServingThroughAnOutage(String fault) {
        try (TestSite site = TestSite.start(directory, "r1/a", "r1/a", "r1/b")) {
            Traffic traffic = Traffic.start(site, site.callerAddresses(), OUTAGE_MS, 0);
            TestSite.sleep(1_000);
            site.storeFault(fault);
            LoadReport report = traffic.finish();

            report.lines().forEach(line -> System.out.println(fault + ": " + line));
            assertThat(report.violations()).isEmpty();
            assertThat(report.succeeded()).isEqualTo(report.calls());
        }
    }

    @Test
    void daemonCutOffFromTheStoreAloneKeepsServing() {
        try (TestSite site = TestSite.start(directory, "r1/a", "r1/a", "r1/b")) {
            Traffic traffic = Traffic.start(site, site.callerAddresses(), 15_000, 0);
            TestSite.sleep(1_000);
            site.host(0).storeProxy().cut();
            LoadReport report = traffic.finish();

            assertThat(report.violations()).isEmpty();
            assertThat(report.succeeded()).isEqualTo(report.calls());
        }
    }
}
