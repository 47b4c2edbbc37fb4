package org.coriandercrank.control.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.control.ControlStatus;
import org.coriandercrank.control.JoinParameters;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against live members that lose their leases, failed members that are not sealed, and sealed members that
 * continue to use their leases after a pause.
 */
class MembershipTest {
    private static final String[] THREE_HOSTS = {"r/a", "r/a", "r/b"};
    private static final String[] EIGHT_HOSTS = {"r/a", "r/a", "r/a", "r/a", "r/b", "r/b", "r/b", "r/b"};

    /** The TTL with its margin, plus the second that the design allows for the seal. */
    private static final long SEAL_LIMIT_MS = 2_100 + 1_000;

    @Test
    void membersBecomeActiveWithWitnessesOfBothDomains() {
        FakeCluster cluster = new FakeCluster(EIGHT_HOSTS);
        for (FakeHost host : cluster.hosts()) {
            assertThat(host.isLeaseValid()).isTrue();
            ControlStatus status = host.control().status();
            assertThat(status.state()).isEqualTo(MemberState.ACTIVE);
            assertThat(status.witnesses()).hasSize(4);
            long ownDomain = status.witnesses().stream()
                    .filter(witness -> cluster.record(witness.witness())
                            .orElseThrow()
                            .failureDomain()
                            .equals(cluster.record(status.memberId())
                                    .orElseThrow()
                                    .failureDomain()))
                    .count();
            assertThat(ownDomain).isEqualTo(2);
        }
    }

    /** A daemon that was killed while its server was leaving announced the server as active when it resumed its member. */
    @Test
    void resumedMemberOfALeavingServerStaysLeaving() {
        FakeCluster cluster = new FakeCluster(EIGHT_HOSTS);
        FakeHost leaving = cluster.host(0);
        MemberId id = leaving.control().self();
        leaving.control().leave();
        cluster.time().runFor(1_000);
        leaving.kill();

        FakeHost restarted = cluster.add("r/a");
        restarted.control().sealSelf();
        cluster.time().runFor(1_000);
        restarted.control().rejoin(new JoinParameters(id, true, CompletableFuture.completedFuture(null)));
        cluster.time().runFor(1_000);
        restarted.control().backendAnnounced(FakeCluster.backend(1));
        cluster.time().runFor(1_000);
        assertThat(restarted.control().self()).isEqualTo(id);
        assertThat(cluster.record(id).orElseThrow().state()).isEqualTo(MemberState.LEAVING);
    }

    /** Others acquired the ranges of a member whose server still held them, because the next member sealed it at once. */
    @Test
    void formerMemberIsSealedOnlyAfterItsGrantsHaveEnded() {
        FakeCluster cluster = new FakeCluster("r/a");
        FakeHost host = cluster.host(0);
        MemberId former = host.control().self();
        cluster.time().runFor(3_000);
        host.control().abandon();
        CompletableFuture<Void> grantsEnded = new CompletableFuture<>();
        host.control().rejoin(new JoinParameters(new MemberId("next"), true, grantsEnded));
        cluster.time().runFor(1_000);
        assertThat(host.isLeaseValid()).isTrue();
        assertThat(cluster.isSealed(former)).isFalse();
        grantsEnded.complete(null);
        cluster.time().runFor(300);
        assertThat(cluster.isSealed(former)).isTrue();
    }

    /**
     * The store may have returned from a copy that it made before a former member announced its server, so a record
     * without a server does not prove that no server holds ranges of the member.
     */
    @Test
    void formerMemberWithoutAServerInItsRecordIsSealedOnlyAfterItsGrantsHaveEnded() {
        FakeCluster cluster = new FakeCluster("r/a");
        FakeHost host = cluster.host(0);
        MemberId former = host.control().self();
        cluster.time().runFor(3_000);
        host.control().abandon();
        Member record = cluster.record(former).orElseThrow();
        Member withoutServer = new Member(
                record.id(),
                record.peerAddress(),
                record.callerAddress(),
                record.adminAddress(),
                record.region(),
                record.failureDomain(),
                MemberState.JOINING,
                Optional.empty(),
                record.witnesses());
        cluster.store().putUnconditionally(ObjectNames.member(former), JsonCodec.encode(withoutServer));
        CompletableFuture<Void> grantsEnded = new CompletableFuture<>();
        host.control().rejoin(new JoinParameters(new MemberId("next"), true, grantsEnded));
        cluster.time().runFor(1_000);
        assertThat(cluster.isSealed(former)).isFalse();
        grantsEnded.complete(null);
        cluster.time().runFor(300);
        assertThat(cluster.isSealed(former)).isTrue();
    }

    /** The ranges of a former member were never served again, because the next one left before it joined. */
    @Test
    void formerMemberIsSealedAlthoughTheNextOneLeavesBeforeItJoins() {
        FakeCluster cluster = new FakeCluster("r/a");
        FakeHost host = cluster.host(0);
        MemberId former = host.control().self();
        cluster.time().runFor(3_000);
        host.control().abandon();
        host.control().rejoin(new JoinParameters(new MemberId("next"), true, CompletableFuture.completedFuture(null)));
        host.control().leave();
        cluster.time().runFor(300);
        assertThat(cluster.isSealed(former)).isTrue();
    }

    /**
     * The record of an earlier process stayed active for good, and so its ranges unserved, if the server stated that it
     * leaves before the next process had resumed the member: each took it for the task of the other to end it.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 500})
    void memberOfAnEarlierProcessIsLeavingAlthoughItsServerLeavesBeforeItIsResumed(long listedBeforeMs) {
        FakeCluster cluster = new FakeCluster(EIGHT_HOSTS);
        FakeHost killed = cluster.host(0);
        MemberId id = killed.control().self();
        killed.kill();

        FakeHost restarted = cluster.add("r/a");
        restarted.control().sealSelf();
        cluster.time().runFor(listedBeforeMs);
        restarted.control().rejoin(new JoinParameters(id, true, CompletableFuture.completedFuture(null)));
        restarted.control().backendAnnounced(FakeCluster.backend(1));
        restarted.control().leave();
        cluster.time().runFor(700);
        assertThat(cluster.record(id).orElseThrow().state()).isEqualTo(MemberState.LEAVING);
        assertThat(cluster.record(id).orElseThrow().backend()).isPresent();
    }

    @Test
    void singleMemberRenewsThroughTheStore() {
        FakeCluster cluster = new FakeCluster("r/a");
        for (int i = 0; i < 100; i++) {
            cluster.time().runFor(100);
            assertThat(cluster.host(0).isLeaseValid()).isTrue();
        }
        cluster.store().setMode(FakeStore.Mode.DOWN);
        cluster.time().runFor(2_500);
        assertThat(cluster.host(0).isLeaseValid()).isFalse();
    }

    @Test
    void unchangedAnnouncementAndNormalOperationWriteNothing() {
        FakeCluster cluster = new FakeCluster(THREE_HOSTS);
        long puts = cluster.store().puts();
        cluster.host(0).control().backendAnnounced(FakeCluster.backend(1));
        cluster.time().runFor(20_000);
        assertThat(cluster.store().puts()).isEqualTo(puts);
    }

    @ParameterizedTest
    @EnumSource(
            value = FakeStore.Mode.class,
            names = {"UP"},
            mode = EnumSource.Mode.EXCLUDE)
    void leasesStayValidDuringStoreFaults(FakeStore.Mode mode) {
        FakeCluster cluster = new FakeCluster(THREE_HOSTS);
        cluster.store().setMode(mode);
        for (int i = 0; i < 2_000; i++) {
            cluster.time().runFor(100);
            cluster.hosts().forEach(host -> assertThat(host.isLeaseValid()).isTrue());
        }
        cluster.store().setMode(FakeStore.Mode.UP);
        cluster.time().runFor(10_000);
        cluster.hosts().forEach(host -> assertThat(host.sealedIncarnations()).isEmpty());
    }

    @ParameterizedTest
    @EnumSource(
            value = FakeStore.Mode.class,
            names = {"UNANSWERED_WRITES", "LATE_WRITES"})
    void joinSurvivesUnansweredWrites(FakeStore.Mode mode) {
        FakeCluster cluster = new FakeCluster(THREE_HOSTS);
        cluster.store().setMode(mode);
        FakeHost joiner = cluster.add("r/b");
        cluster.time().runFor(6_000);
        cluster.store().setMode(FakeStore.Mode.UP);
        cluster.time().runFor(6_000);
        assertThat(joiner.isLeaseValid()).isTrue();
        assertThat(joiner.control().status().state()).isEqualTo(MemberState.ACTIVE);
        assertThat(joiner.sealedIncarnations()).isEmpty();
    }

    @Test
    void startWaitsForTheStore() {
        FakeCluster cluster = new FakeCluster(THREE_HOSTS);
        cluster.store().setMode(FakeStore.Mode.DOWN);
        FakeHost joiner = cluster.add("r/b");
        cluster.time().runFor(30_000);
        cluster.store().setMode(FakeStore.Mode.UP);
        assertThat(cluster.time().runUntil(joiner::isLeaseValid, 3_000)).isNotNegative();
    }

    @Test
    void killedMemberIsSealedOnceAndOthersKeepTheirLeases() {
        for (String[] locations : List.of(THREE_HOSTS, EIGHT_HOSTS)) {
            FakeCluster cluster = new FakeCluster(locations);
            FakeHost victim = cluster.host(1);
            MemberId member = victim.control().self();
            victim.kill();
            long tookMs = cluster.time().runUntil(() -> cluster.isSealed(member), 10_000);
            assertThat(tookMs).isBetween(1_000L, SEAL_LIMIT_MS);
            for (int i = 0; i < 100; i++) {
                cluster.time().runFor(100);
                cluster.hosts().stream()
                        .filter(host -> host != victim)
                        .forEach(host -> assertThat(host.isLeaseValid()).isTrue());
            }
            assertThat(cluster.sum("crank.control.seals")).isEqualTo(1);
        }
    }

    @Test
    void pausedMemberIsNotifiedOfItsSealAndRejoins() {
        FakeCluster cluster = new FakeCluster(EIGHT_HOSTS);
        FakeHost host = cluster.host(2);
        MemberId previous = host.control().self();
        host.pause();
        cluster.time().runFor(8_000);
        assertThat(cluster.isSealed(previous)).isTrue();
        assertThat(host.isLeaseValid()).isFalse();
        host.resume();
        cluster.time().runFor(3_000);
        assertThat(host.sealedIncarnations()).containsExactly(previous);
        assertThat(cluster.sum("crank.control.seals")).isEqualTo(1);
        CompletableFuture<MemberId> rejoined = host.control().rejoin();
        cluster.time().runFor(3_000);
        assertThat(rejoined.join())
                .isNotEqualTo(previous)
                .isEqualTo(host.control().self());
        assertThat(host.isLeaseValid()).isTrue();
    }

    @Test
    void shortPauseSealsNoMember() {
        FakeCluster cluster = new FakeCluster(EIGHT_HOSTS);
        cluster.host(3).pause();
        cluster.time().runFor(1_200);
        cluster.host(3).resume();
        cluster.time().runFor(10_000);
        assertThat(cluster.sum("crank.control.seals")).isZero();
        assertThat(cluster.host(3).isLeaseValid()).isTrue();
    }

    @Test
    void membersOfAFailedDomainAreSealed() {
        FakeCluster cluster = new FakeCluster(EIGHT_HOSTS);
        List<FakeHost> killed = cluster.hosts().subList(4, 8);
        killed.forEach(FakeHost::kill);
        long tookMs = cluster.time()
                .runUntil(
                        () -> killed.stream()
                                .allMatch(
                                        host -> cluster.isSealed(host.control().self())),
                        10_000);
        assertThat(tookMs).isBetween(1_000L, SEAL_LIMIT_MS);
    }

    @Test
    void memberDisconnectedFromPeersKeepsItsLeaseThroughTheStore() {
        FakeCluster cluster = new FakeCluster(EIGHT_HOSTS);
        FakeHost host = cluster.host(0);
        host.setDisconnected(true);
        cluster.time().runFor(20_000);
        host.setDisconnected(false);
        cluster.time().runFor(5_000);
        assertThat(host.isLeaseValid() || !host.sealedIncarnations().isEmpty()).isTrue();
    }

    @Test
    void gracefulShutdownLeavesThenSeals() {
        FakeCluster cluster = new FakeCluster(THREE_HOSTS);
        FakeHost host = cluster.host(0);
        CompletableFuture<Void> leaveFuture = host.control().leave();
        cluster.time().runFor(200);
        assertThat(leaveFuture).isCompleted();
        assertThat(host.isLeaseValid()).isTrue();
        CompletableFuture<Void> sealFuture = host.control().sealSelf();
        cluster.time().runUntil(() -> !host.isLeaseValid(), 200);
        assertThat(cluster.isSealed(host.control().self())).isFalse();
        cluster.time().runFor(200);
        assertThat(sealFuture).isCompleted();
        assertThat(cluster.isSealed(host.control().self())).isTrue();
        assertThat(host.sealedIncarnations()).isEmpty();
    }
}
