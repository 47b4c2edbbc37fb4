package org.coriandercrank.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.ingress.internal.protocol.NativeProtocol;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that ingress sends to servers of an evacuated failure domain, and against requests that wait
 * although all servers of their service are evacuated.
 */
class EvacuatedDomainsTest {
    private static final FailureDomain EAST = new FailureDomain("east-a");
    private static final FailureDomain WEST = new FailureDomain("west-a");
    private static final int REQUESTS = 40;

    private static Member member(String id, String region, ServiceName service) {
        return IngressFixture.member(id, region, service, MemberState.ACTIVE);
    }

    private static IngressFixture fixture(String owner, ServiceName service, FailureDomain... evacuated) {
        return new IngressFixture(
                IngressFixture.evacuate(
                        IngressFixture.snapshotOwnedBy(
                                owner,
                                1,
                                member("self", "east", service),
                                member("e1", "east", service),
                                member("w1", "west", service)),
                        evacuated),
                IngressFixture.options(100, 100),
                new NativeProtocol(new RequestIds(), 250));
    }

    @Test
    void unkeyedRequestsAvoidTheDomain() {
        ServiceName service = IngressFixture.UNKEYED_SERVICE;
        try (IngressFixture fixture = fixture("", service, EAST)) {
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(fixture.send("GET", "/v1/" + service + "/shade").status())
                        .isEqualTo(200);
            }
            assertThat(fixture.gate.submitted).isEmpty();
            assertThat(fixture.peers.targets)
                    .hasSize(REQUESTS)
                    .allMatch(target -> target.member().value().equals("w1"));
        }
    }

    @Test
    void unkeyedRequestIsRefusedAtOnceIfAllDomainsAreEvacuated() {
        ServiceName service = IngressFixture.UNKEYED_SERVICE;
        try (IngressFixture fixture = fixture("", service, EAST, WEST)) {
            assertRefused(fixture, fixture.send("GET", "/v1/" + service + "/shade"), ResultCode.NO_OWNER);
        }
    }

    @ParameterizedTest
    @CsvSource({"self", "w1"})
    void keyedRequestIsRefusedAtOnceIfAllDomainsAreEvacuated(String owner) {
        ServiceName service = IngressFixture.KEYED_SERVICE;
        try (IngressFixture fixture = fixture(owner, service, EAST, WEST)) {
            assertRefused(fixture, fixture.send("GET", "/v1/" + service + "/k"), ResultCode.DRAINING);
        }
    }

    /** Until the range has moved, its owner is the only member that may serve it. */
    @Test
    void keyedRequestGoesToTheOwnerWhileItsRangeIsNotMoved() {
        ServiceName service = IngressFixture.KEYED_SERVICE;
        try (IngressFixture fixture = fixture("w1", service, WEST)) {
            assertThat(fixture.send("GET", "/v1/" + service + "/k").status()).isEqualTo(200);
            assertThat(fixture.peers.targets).hasSize(1);
        }
    }

    private static void assertRefused(IngressFixture fixture, HttpResponse response, ResultCode code) {
        assertThat(response.header("crank-result")).contains(Integer.toString(code.number()));
        assertThat(response.header("crank-outcome")).contains("not-run");
        assertThat(response.header("retry-after")).isPresent();
        assertThat(fixture.peers.targets).isEmpty();
        assertThat(fixture.gate.submitted).isEmpty();
    }
}
