package org.coriandercrank.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that sends a request on although it knows that the request crashes servers. */
class QuarantinedDispatchTest {
    private static final String PATH = "/v1/" + IngressFixture.UNKEYED_SERVICE + "/shade";

    private static IngressFixture fixture() {
        return new IngressFixture(
                IngressFixture.snapshotOwnedBy(
                        "",
                        1,
                        IngressFixture.member("self", "east", IngressFixture.UNKEYED_SERVICE, MemberState.ACTIVE),
                        IngressFixture.member("other", "east", IngressFixture.UNKEYED_SERVICE, MemberState.SEALED)),
                IngressFixture.options(100, 10));
    }

    @Test
    void quarantinedRequestIsRefusedWithoutBeingSent() {
        try (IngressFixture fixture = fixture()) {
            fixture.send("GET", PATH);
            RequestFingerprint fingerprint =
                    fixture.gate.submitted.get(0).fingerprint().orElseThrow();
            fixture.quarantine.quarantined.add(fingerprint);

            HttpResponse response = fixture.send("GET", PATH);
            assertThat(response.header("crank-result")).contains("216");
            assertThat(response.header("crank-outcome")).contains("not-run");
            assertThat(response.header("retry-after")).isPresent();
            assertThat(fixture.gate.submitted).hasSize(1);
            assertThat(fixture.send("GET", PATH + "s").header("crank-result")).contains("0");
        }
    }

    /** The status was read twice, and a request that was cleared in between ended with an internal error. */
    @Test
    void requestThatIsClearedWhileItIsRoutedIsSentOrRefused() {
        try (IngressFixture fixture = fixture()) {
            fixture.send("GET", PATH);
            fixture.quarantine.quarantined.add(
                    fixture.gate.submitted.get(0).fingerprint().orElseThrow());
            fixture.quarantine.clearsAfterStatusIsRead = true;
            assertThat(fixture.send("GET", PATH).header("crank-result"))
                    .hasValueSatisfying(code -> assertThat(code).isIn("0", "216"));
        }
    }

    /** An attempt that may have run must not be reported as not run because the next one is refused. */
    @Test
    void quarantineAfterALostAttemptLeavesTheOutcomeUnknown() {
        try (IngressFixture fixture = fixture()) {
            fixture.gate.answerFunction = request -> {
                quarantine(fixture, request);
                return CompletableFuture.completedFuture(
                        CallerAnswer.of(ResultCode.OUTCOME_UNKNOWN, "the server ended"));
            };
            HttpResponse response = fixture.send("GET", PATH);
            assertThat(response.header("crank-outcome")).contains("unknown");
        }
    }

    private static void quarantine(IngressFixture fixture, CallerRequest request) {
        fixture.quarantine.quarantined.add(request.fingerprint().orElseThrow());
    }
}
