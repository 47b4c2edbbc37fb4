package org.coriandercrank.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.ingress.internal.protocol.NativeProtocol;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.ForwardAnswer;
import org.coriandercrank.kernel.message.ForwardRequest;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a request that reaches a server, or whose body reaches a daemon, in a region where it is not allowed:
 * start requests of a build service did so 1,042 times in a simulated day. The daemon under test is in the region
 * "east".
 */
class AllowedRegionsTest {
    private static final Region WEST = new Region("west");
    private static final int REQUESTS = 60;

    /** The native protocol, with a rule that allows each request only in some regions. */
    private record RestrictedProtocol(Set<Region> allowedRegions) implements CallerProtocol {
        private static final CallerProtocol NATIVE = new NativeProtocol(new RequestIds(), 250);

        @Override
        public ParsedRequest parse(HttpRequest request, RoutingSnapshot snapshot) {
            ParsedRequest parsed = NATIVE.parse(request, snapshot);
            return parsed.accepted()
                    .map(accepted -> ParsedRequest.accepted(restrict(accepted.request()), accepted.service()))
                    .orElse(parsed);
        }

        private CallerRequest restrict(CallerRequest request) {
            return withRules(request, new RequestRules(true, 9, 0, 10_000, allowedRegions));
        }

        @Override
        public HttpResponse render(
                RequestId id, CallerAnswer answer, Optional<MemberId> owner, boolean closeConnection) {
            return NATIVE.render(id, answer, owner, closeConnection);
        }
    }

    private static CallerRequest withRules(CallerRequest request, RequestRules rules) {
        return new CallerRequest(
                request.id(),
                request.service(),
                request.key(),
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                request.remainingMs(),
                request.idempotencyKey(),
                request.idempotencyKeyAgeMs(),
                Optional.of(rules),
                request.fingerprint());
    }

    private static Member member(String id, String region, ServiceName service) {
        return IngressFixture.member(id, region, service, MemberState.ACTIVE);
    }

    private static IngressFixture fixture(String owner, Member... members) {
        return new IngressFixture(
                IngressFixture.snapshotOwnedBy(owner, 1, members),
                IngressFixture.options(100, 100),
                new RestrictedProtocol(Set.of(WEST)));
    }

    /** Whatever the first servers answer, the request is sent only to servers of the region, and each attempt counts. */
    @ParameterizedTest
    @EnumSource(
            value = ResultCode.class,
            names = {"OK", "OVERLOADED", "BACKEND_UNAVAILABLE", "DRAINING", "NOT_OWNER", "REGION_NOT_ALLOWED"})
    void unkeyedRequestsStayInTheirRegion(ResultCode code) {
        ServiceName service = IngressFixture.UNKEYED_SERVICE;
        try (IngressFixture fixture = fixture(
                "",
                member("e1", "east", service),
                member("e2", "east", service),
                member("w1", "west", service),
                member("w2", "west", service))) {
            if (code != ResultCode.OK) {
                fixture.peers.onForward = (request, number) -> FakePeers.answer(CallerAnswer.of(code, "refused"), 1);
            }
            for (int i = 0; i < REQUESTS; i++) {
                fixture.send("GET", "/v1/" + service + "/shade");
            }
            Set<String> targets = new HashSet<>();
            fixture.peers.targets.forEach(target -> targets.add(target.member().value()));
            assertThat(targets).containsExactlyInAnyOrder("w1", "w2");
            assertThat(fixture.gate.submitted).isEmpty();
        }
    }

    @Test
    void unkeyedRequestWithoutServerInItsRegionIsRefusedAtOnce() {
        ServiceName service = IngressFixture.UNKEYED_SERVICE;
        try (IngressFixture fixture = fixture("", member("e1", "east", service), member("self", "east", service))) {
            assertRefused(fixture, fixture.send("GET", "/v1/" + service + "/shade"));
        }
    }

    @ParameterizedTest
    @CsvSource({"e1", "self"})
    void keyedRequestWhoseOwnerIsElsewhereIsRefusedAtOnce(String owner) {
        ServiceName service = IngressFixture.KEYED_SERVICE;
        try (IngressFixture fixture = fixture(owner, member("e1", "east", service), member("self", "east", service))) {
            assertRefused(fixture, fixture.send("GET", "/v1/" + service + "/k"));
        }
    }

    /** Guards against a record of this daemon that names another region than its settings. */
    @Test
    void ownServerIsJudgedByTheRegionOfTheSettings() {
        ServiceName service = IngressFixture.UNKEYED_SERVICE;
        try (IngressFixture fixture = fixture("", member("self", "west", service))) {
            assertRefused(fixture, fixture.send("GET", "/v1/" + service + "/shade"));
        }
    }

    /** The one server of a confined request may be outside; no other one replaces it. */
    @ParameterizedTest
    @CsvSource({"self,west", "e1,east"})
    void confinedRequestStaysInItsRegion(String server, String recordedRegion) {
        ServiceName service = IngressFixture.UNKEYED_SERVICE;
        String target = "/v1/" + service + "/shade";
        try (IngressFixture fixture = fixture("", member("w1", "west", service))) {
            fixture.send("GET", target);
            fixture.quarantine.confined.add(
                    fixture.peers.forwards.get(0).request().fingerprint().orElseThrow());
            fixture.peers.targets.clear();
            fixture.view.set(IngressFixture.snapshotOwnedBy("", 2, member(server, recordedRegion, service)));
            assertRefused(fixture, fixture.send("GET", target));
        }
    }

    /** Guards against a check that is made only once, before a request waits for another owner. */
    @Test
    void keyedRequestIsCheckedAgainAfterItsOwnerChanged() {
        ServiceName service = IngressFixture.KEYED_SERVICE;
        Member west = member("w1", "west", service);
        Member east = member("e1", "east", service);
        try (IngressFixture fixture = fixture("w1", west, east)) {
            fixture.peers.onForward = (request, number) -> {
                fixture.view.set(IngressFixture.snapshotOwnedBy("e1", 2, west, east));
                return FakePeers.answer(CallerAnswer.of(ResultCode.NOT_OWNER, "moved"), 2);
            };
            HttpResponse response = fixture.send("GET", "/v1/" + service + "/k");
            assertThat(response.header("crank-result"))
                    .contains(Integer.toString(ResultCode.REGION_NOT_ALLOWED.number()));
            assertThat(fixture.peers.targets)
                    .extracting(target -> target.member().value())
                    .containsExactly("w1");
        }
    }

    /** Another daemon refuses if its region is not the one of its record; a further server of the region may take it. */
    @Test
    void refusalByTheRegionOfOneServerLeadsToTheNext() {
        ServiceName service = IngressFixture.UNKEYED_SERVICE;
        try (IngressFixture fixture = fixture("", member("w1", "west", service), member("w2", "west", service))) {
            fixture.peers.onForward = (request, number) -> number == 1
                    ? FakePeers.answer(CallerAnswer.of(ResultCode.REGION_NOT_ALLOWED, "refused"), 1)
                    : FakePeers.executed();
            assertThat(fixture.send("GET", "/v1/" + service + "/shade").status())
                    .isEqualTo(200);
            assertThat(Set.copyOf(fixture.peers.targets)).hasSize(2);
        }
    }

    private static void assertRefused(IngressFixture fixture, HttpResponse response) {
        assertThat(response.header("crank-result")).contains(Integer.toString(ResultCode.REGION_NOT_ALLOWED.number()));
        assertThat(response.header("crank-outcome")).contains("not-run");
        assertThat(response.header("retry-after")).isPresent();
        assertThat(fixture.peers.targets).isEmpty();
        assertThat(fixture.gate.submitted).isEmpty();
    }

    /** A daemon that knows another configuration, or takes this one for one of another region, forwards a request. */
    @ParameterizedTest
    @CsvSource({"west,false", "east,true"})
    void forwardedRequestIsCheckedAgain(String allowedRegion, boolean submitted) {
        try (IngressFixture fixture = fixture("")) {
            RequestRules rules = new RequestRules(false, 2, 0, 10_000, Set.of(new Region(allowedRegion)));
            CallerRequest request = new CallerRequest(
                    new RequestId("r-1"),
                    IngressFixture.UNKEYED_SERVICE,
                    Optional.empty(),
                    "POST",
                    "/start",
                    List.of(),
                    new byte[0],
                    1_000,
                    Optional.empty(),
                    OptionalLong.empty(),
                    Optional.of(rules));
            ForwardRequest message = new ForwardRequest(request, Generation.NONE);
            ForwardAnswer answer = (ForwardAnswer) fixture.peerHandlers
                    .find(message)
                    .orElseThrow()
                    .handle(new MemberId("other"), message)
                    .toCompletableFuture()
                    .join();
            assertThat(answer.answer().code()).isEqualTo(submitted ? ResultCode.OK : ResultCode.REGION_NOT_ALLOWED);
            assertThat(fixture.gate.submitted).hasSize(submitted ? 1 : 0);
        }
    }
}
