package org.coriandercrank.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a 404 from a daemon that missed the configuration in which the service or route was added. */
class StaleConfigurationTest {
    private static final RoutingSnapshot NEWER = IngressFixture.snapshotOwnedBy("self", 1);
    private static final RoutingSnapshot OLDER = new RoutingSnapshot(
            IngressFixture.SELF,
            new Revision(1),
            new Configuration(List.of(), List.of(), List.of()),
            NEWER.tables(),
            NEWER.members());

    private final IngressFixture fixture = new IngressFixture(OLDER, IngressFixture.options(10, 10));

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void serviceThatWasAddedMeanwhileIsServed() {
        CompletableFuture<Boolean> confirmation = fixture.configurationProof.expire();
        CompletableFuture<HttpResponse> response = sendAsync();
        fixture.view.set(NEWER);
        confirmation.complete(true);
        assertThat(response.join().header("crank-result")).contains(number(ResultCode.OK));
    }

    @Test
    void serviceThatNoConfigurationHasIsUnknown() {
        CompletableFuture<Boolean> confirmation = fixture.configurationProof.expire();
        CompletableFuture<HttpResponse> response = sendAsync();
        confirmation.complete(true);
        assertThat(response.join().status()).isEqualTo(404);
    }

    @Test
    void daemonThatCannotReadTheConfigurationPromisesNothing() {
        CompletableFuture<Boolean> confirmation = fixture.configurationProof.expire();
        CompletableFuture<HttpResponse> response = sendAsync();
        confirmation.complete(false);
        assertThat(response.join().status()).isEqualTo(503);
        assertThat(response.join().header("crank-result")).contains(number(ResultCode.CONFIGURATION_UNCONFIRMED));
        assertThat(response.join().header("crank-outcome")).contains("not-run");
        assertThat(response.join().header("retry-after")).contains("1");
    }

    private CompletableFuture<HttpResponse> sendAsync() {
        return CompletableFuture.supplyAsync(() -> fixture.send("GET", "/v1/cardfront/k1"));
    }

    private static String number(ResultCode code) {
        return Integer.toString(code.number());
    }
}
