package org.coriandercrank.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are cut off without an answer when the time for a planned stop is up. */
class ShutdownTest {
    private static final long TIMEOUT_S = 10;
    private static final Member SELF =
            IngressFixture.member("self", "east", IngressFixture.KEYED_SERVICE, MemberState.ACTIVE);

    private final IngressFixture fixture =
            new IngressFixture(IngressFixture.snapshotOwnedBy("self", 1, SELF), IngressFixture.options(10, 10));

    /** The server is still at work on the request, so its outcome is unknown. */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST"})
    void requestAtWorkGetsItsFinalAnswer(String method) throws Exception {
        CountDownLatch submitted = new CountDownLatch(1);
        fixture.gate.answerFunction = request -> {
            submitted.countDown();
            return new CompletableFuture<>();
        };
        try (fixture) {
            CompletableFuture<HttpResponse> response =
                    CompletableFuture.supplyAsync(() -> fixture.send(method, "/v1/cardfront/k1"));
            assertThat(submitted.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
            fixture.ingress.close();
            HttpResponse answer = response.get(TIMEOUT_S, TimeUnit.SECONDS);
            assertThat(answer.status()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.httpStatus());
            assertThat(answer.header("crank-outcome")).isEqualTo(Optional.of("unknown"));
        }
    }

    /** No attempt has been sent, and none will be. */
    @Test
    void requestThatWaitsForAnOwnerIsAnsweredAsNotRun() throws Exception {
        try (IngressFixture withoutOwner =
                new IngressFixture(IngressFixture.snapshotOwnedBy("", 1, SELF), IngressFixture.options(10, 10))) {
            CompletableFuture<HttpResponse> response =
                    CompletableFuture.supplyAsync(() -> withoutOwner.send("POST", "/v1/cardfront/k1"));
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            while (withoutOwner.ingress.inFlight() == 0 && System.nanoTime() < deadlineNanos) {
                Thread.sleep(1);
            }
            withoutOwner.ingress.close();
            HttpResponse answer = response.get(TIMEOUT_S, TimeUnit.SECONDS);
            assertThat(answer.status()).isEqualTo(ResultCode.DRAINING.httpStatus());
            assertThat(answer.header("crank-outcome")).isEqualTo(Optional.of("not-run"));
            assertThat(answer.header("crank-result")).isEqualTo(Optional.of("" + ResultCode.DRAINING.number()));
        } finally {
            fixture.close();
        }
    }
}
