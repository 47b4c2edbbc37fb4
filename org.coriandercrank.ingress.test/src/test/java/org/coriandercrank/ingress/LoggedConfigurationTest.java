package org.coriandercrank.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against lines about requests that do not tell by which configuration the daemon decided. */
class LoggedConfigurationTest {
    private static final int VERSION = 7;
    private static final RoutingSnapshot UNVERSIONED = IngressFixture.snapshotOwnedBy("self", 1);
    private static final RoutingSnapshot SNAPSHOT = new RoutingSnapshot(
            IngressFixture.SELF,
            new Revision(1),
            UNVERSIONED.configuration().withVersion(VERSION),
            UNVERSIONED.tables(),
            UNVERSIONED.members());

    private final IngressFixture fixture = new IngressFixture(SNAPSHOT, IngressFixture.options(10, 10), 1_000);
    private final Logger logger = Logger.getLogger(DecisionLog.class.getName());
    private final List<String> written = new CopyOnWriteArrayList<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord line) {
            written.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void startCapture() {
        logger.setUseParentHandlers(false);
        logger.setLevel(Level.INFO);
        logger.addHandler(handler);
    }

    @AfterEach
    void close() {
        logger.removeHandler(handler);
        logger.setUseParentHandlers(true);
        fixture.close();
    }

    @Test
    void refusalNamesTheConfigurationAndItsProof() {
        fixture.send("GET", "/v1/unknown/k1");
        assertThat(written)
                .singleElement()
                .asString()
                .startsWith("event=refuse ")
                .contains(" result=UNKNOWN_SERVICE configurationVersion=7 configurationProofMs=0");
    }

    @Test
    void attemptNamesTheConfigurationThatHasItsService() {
        fixture.send("GET", "/v1/cardfront/k1");
        assertThat(written)
                .singleElement()
                .asString()
                .startsWith("event=route ")
                .endsWith(" configurationVersion=7 configurationProofMs=0");
    }
}
