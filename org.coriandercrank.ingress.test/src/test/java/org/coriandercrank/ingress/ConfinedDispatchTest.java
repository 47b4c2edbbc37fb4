package org.coriandercrank.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.api.Test;

/** Guards against a request that may crash servers and that daemons try at several of them at the same time. */
class ConfinedDispatchTest {
    private static final String PATH = "/v1/" + IngressFixture.UNKEYED_SERVICE + "/shade";
    private static final int REQUESTS = 40;

    /** @param host host with an address of its own, on which a server may follow another */
    private static Member member(String id, int host) {
        HostAddress address = new HostAddress("127.0.0." + host, 7001);
        return new Member(
                new MemberId(id),
                address,
                address,
                address,
                new Region("east"),
                new FailureDomain("east-a"),
                MemberState.ACTIVE,
                Optional.of(new BackendInfo(
                        "b-" + id, IngressFixture.UNKEYED_SERVICE, IngressFixture.LOOPBACK, 12, 110, Set.of())),
                List.of());
    }

    private static IngressFixture fixture(Member... members) {
        return new IngressFixture(IngressFixture.snapshotOwnedBy("", 1, members), IngressFixture.options(100, 10));
    }

    private static void confine(IngressFixture fixture) {
        fixture.send("GET", PATH);
        fixture.quarantine.confined.add(
                fixture.peers.forwards.get(0).request().fingerprint().orElseThrow());
        fixture.peers.targets.clear();
    }

    @Test
    void confinedRequestIsSentToOneServerOnly() {
        try (IngressFixture fixture = fixture(member("m1", 1), member("m2", 2), member("m3", 3), member("m4", 4))) {
            confine(fixture);
            for (int i = 0; i < REQUESTS; i++) {
                fixture.send("GET", PATH);
            }
            Set<PeerTarget> targets = new HashSet<>(fixture.peers.targets);
            assertThat(fixture.peers.targets).hasSize(REQUESTS);
            assertThat(targets).hasSize(1);
        }
    }

    /** Its server may have crashed a moment ago, before this daemon knows of that crash. */
    @Test
    void confinedRequestThatItsServerRefusesIsSentToNoOther() {
        try (IngressFixture fixture = fixture(member("m1", 1), member("m2", 2), member("m3", 3))) {
            confine(fixture);
            fixture.peers.onForward = (request, number) ->
                    FakePeers.answer(CallerAnswer.of(ResultCode.BACKEND_UNAVAILABLE, "the server is down"), 1);
            assertThat(fixture.send("GET", PATH).header("crank-outcome")).contains("not-run");
            assertThat(fixture.peers.targets).hasSize(1);
        }
    }

    /** A server that follows a crashed one gets the same requests, so that daemons with older members agree. */
    @Test
    void confinedRequestStaysWithTheHostWhenItsServerIsReplaced() {
        Member[] before = {member("m1", 1), member("m2", 2), member("m3", 3)};
        Member[] after = {member("n1", 1), member("n2", 2), member("n3", 3)};
        assertThat(hostOfConfinedRequest(before)).isEqualTo(hostOfConfinedRequest(after));
    }

    private static HostAddress hostOfConfinedRequest(Member... members) {
        try (IngressFixture fixture = fixture(members)) {
            confine(fixture);
            fixture.send("GET", PATH);
            return fixture.peers.targets.get(0).address();
        }
    }
}
