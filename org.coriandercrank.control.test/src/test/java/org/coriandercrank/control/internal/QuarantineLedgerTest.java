package org.coriandercrank.control.internal;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.coriandercrank.kernel.id.CrashId;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.ownership.RequestQuarantine.Status;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.table.CrashReports;
import org.coriandercrank.kernel.table.CrashReports.Crash;
import org.coriandercrank.kernel.table.CrashReports.Retraction;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.api.Test;

/** Guards the conclusions from crashes of servers: who is refused, who is not, and when it is forgotten. */
class QuarantineLedgerTest {
    private static final RequestFingerprint CRASHING = new RequestFingerprint(1);
    private static final RequestFingerprint INNOCENT = new RequestFingerprint(2);
    private static final HostAddress OWN_ADDRESS = HostAddress.parse("127.0.0.1:7001");
    private static final HostAddress OTHER_ADDRESS = HostAddress.parse("127.0.0.2:7001");

    private long nowMs = 1_000;
    private int ownReportChanges;
    private final QuarantineLedger ledger = newLedger();

    private QuarantineLedger newLedger() {
        return new QuarantineLedger(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), OWN_ADDRESS, () -> ownReportChanges++);
    }

    private static MemberId member(int number) {
        return new MemberId("m" + number);
    }

    private static Member record(int number, HostAddress address, Optional<CrashReports> crashReports) {
        Member member = new Member(
                member(number),
                address,
                address,
                address,
                new Region("r"),
                new FailureDomain("d"),
                MemberState.ACTIVE,
                Optional.empty(),
                List.of());
        return member.withCrashReports(crashReports);
    }

    private static RequestFingerprint ofCaller(String caller) {
        return RequestFingerprint.of(caller, List.of("GET", "/a"), new byte[0]);
    }

    private static List<RequestFingerprint> candidates(String caller) {
        return List.of(ofCaller(caller), ofCaller(caller).ofAnyCaller());
    }

    /** The daemons of hosts with different services each counted the crashes of the same request for themselves. */
    @Test
    void requestThatCrashesServersForSeveralCallersIsQuarantinedForAll() {
        ledger.recordCrash(member(0), candidates("desk"));
        ledger.recordCrash(member(1), candidates("book"));
        assertThat(ledger.status(ofCaller("bench"))).isEqualTo(Status.SUSPECT);
        ledger.recordCrash(member(2), candidates("desk"));
        assertThat(ledger.status(ofCaller("bench"))).isEqualTo(Status.QUARANTINED);
        assertThat(ledger.remainingMs(ofCaller("bench"))).isEqualTo(QuarantineLedger.QUARANTINE_MS);
    }

    @Test
    void crashesOfOneCallerSayNothingAboutOthers() {
        crashServers(3, candidates("desk").toArray(new RequestFingerprint[0]));
        assertThat(ledger.status(ofCaller("desk"))).isEqualTo(Status.QUARANTINED);
        assertThat(ledger.status(ofCaller("book"))).isEqualTo(Status.CLEAR);
        ledger.recordAnswer(ofCaller("book"));
        assertThat(ledger.status(ofCaller("desk"))).isEqualTo(Status.QUARANTINED);
    }

    @Test
    void answerToOneCallerRetractsTheCrashesOfAnyCaller() {
        ledger.recordCrash(member(0), candidates("desk"));
        ledger.recordCrash(member(1), candidates("book"));
        ledger.recordAnswer(ofCaller("bench"));
        ledger.recordCrash(member(2), candidates("bench"));
        assertThat(ledger.status(ofCaller("bench"))).isEqualTo(Status.CLEAR);

        QuarantineLedger other = newLedger();
        other.adopt(record(9, OTHER_ADDRESS, ledger.ownReports()));
        assertThat(other.status(ofCaller("bench"))).isEqualTo(Status.CLEAR);
    }

    /** A request that ran beside the cause was refused like the cause itself. */
    @Test
    void requestThatRanBesideTheCauseIsNotQuarantined() {
        crashServers(3, CRASHING, INNOCENT);
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.CONFINED);
        assertThat(ledger.status(INNOCENT)).isEqualTo(Status.CONFINED);
        ledger.recordCrash(member(3), List.of(CRASHING));
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.QUARANTINED);
        assertThat(ledger.status(INNOCENT)).isEqualTo(Status.CONFINED);
        assertThat(ledger.remainingMs(INNOCENT)).isZero();
        assertThat(ledger.quarantinedRequests()).isEqualTo(1);
    }

    /** Two causes must not release each other with each crash of one of them. */
    @Test
    void secondCauseIsQuarantinedAtItsNextCrash() {
        crashServers(3, CRASHING, INNOCENT);
        ledger.recordCrash(member(3), List.of(CRASHING));
        ledger.recordCrash(member(4), List.of(INNOCENT));
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.QUARANTINED);
        assertThat(ledger.status(INNOCENT)).isEqualTo(Status.QUARANTINED);
    }

    /** The cause would run on beside the other if an answer to that one left it confined. */
    @Test
    void answerToTheOtherRequestQuarantinesTheCause() {
        crashServers(3, CRASHING, INNOCENT);
        ledger.recordAnswer(INNOCENT);
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.QUARANTINED);
        assertThat(ledger.status(INNOCENT)).isEqualTo(Status.CLEAR);
    }

    /** A request that ran at two crashes of the cause and at another server that crashed for itself. */
    @Test
    void requestWithOneCrashOfItsOwnIsConfinedWhileAnotherExplainsTheRest() {
        crashServers(2, CRASHING, INNOCENT);
        ledger.recordCrash(member(2), List.of(INNOCENT));
        ledger.recordCrash(member(3), List.of(CRASHING));
        assertThat(ledger.status(INNOCENT)).isEqualTo(Status.CONFINED);
        ledger.recordCrash(member(4), List.of(INNOCENT));
        assertThat(ledger.status(INNOCENT)).isEqualTo(Status.QUARANTINED);
    }

    @Test
    void causeThatIsOnProbationExplainsNoCrashes() {
        crashServers(4, CRASHING);
        nowMs += QuarantineLedger.QUARANTINE_MS / 2;
        List<Crash> crashes = IntStream.range(0, 3)
                .mapToObj(i -> new Crash(CrashId.of(member(i), 1), List.of(INNOCENT)))
                .toList();
        ledger.adopt(record(9, OTHER_ADDRESS, Optional.of(new CrashReports(crashes, List.of()))));
        assertThat(ledger.status(INNOCENT)).isEqualTo(Status.CONFINED);
        nowMs += QuarantineLedger.QUARANTINE_MS / 2;
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.SUSPECT);
        assertThat(ledger.status(INNOCENT)).isEqualTo(Status.QUARANTINED);
    }

    private void crashServers(int count, RequestFingerprint... running) {
        IntStream.range(0, count).forEach(i -> ledger.recordCrash(member(i), List.of(running)));
    }

    @Test
    void thirdCrashQuarantinesTheRequest() {
        crashServers(1, CRASHING);
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.CLEAR);
        ledger.recordCrash(member(1), List.of(CRASHING));
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.SUSPECT);
        ledger.recordCrash(member(2), List.of(CRASHING));
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.QUARANTINED);
        assertThat(ledger.remainingMs(CRASHING)).isEqualTo(QuarantineLedger.QUARANTINE_MS);
        assertThat(ledger.quarantinedRequests()).isEqualTo(1);
    }

    /** Two servers of one member may crash if the first is replaced before the daemon notices. */
    @Test
    void crashesOfSuccessiveServersOfOneMemberCountSeparately() {
        IntStream.range(0, 3).forEach(i -> ledger.recordCrash(member(0), List.of(CRASHING)));
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.QUARANTINED);
    }

    @Test
    void answerClearsARequestThatRanBesideTheCrashingOne() {
        crashServers(2, CRASHING, INNOCENT);
        ledger.recordAnswer(INNOCENT);
        ledger.recordCrash(member(2), List.of(CRASHING, INNOCENT));
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.QUARANTINED);
        assertThat(ledger.status(INNOCENT)).isEqualTo(Status.CLEAR);
    }

    /** Records of members arrive in any order, and the same one more than once. */
    @Test
    void orderAndRepetitionOfRecordsDoNotMatter() {
        QuarantineLedger reporter = newLedger();
        IntStream.range(0, 3).forEach(i -> reporter.recordCrash(member(i), List.of(CRASHING, INNOCENT)));
        Optional<CrashReports> crashes = reporter.ownReports();
        reporter.recordAnswer(INNOCENT);
        Optional<CrashReports> crashesAndRetraction = reporter.ownReports();
        for (Optional<CrashReports> crashReports : List.of(crashesAndRetraction, crashes, crashes)) {
            ledger.adopt(record(7, OTHER_ADDRESS, crashReports));
        }
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.QUARANTINED);
        assertThat(ledger.status(INNOCENT)).isEqualTo(Status.CLEAR);
        assertThat(ledger.ownReports()).isEmpty();
    }

    /** A single crash has no effect elsewhere, so its retraction is worth no write to the store. */
    @Test
    void retractionIsReportedOnlyForSuspects() {
        crashServers(1, INNOCENT);
        ledger.recordAnswer(INNOCENT);
        assertThat(ledger.ownReports().orElseThrow().retractions()).isEmpty();
        crashServers(1, CRASHING);
        crashServers(2, CRASHING);
        ledger.recordAnswer(CRASHING);
        assertThat(ledger.ownReports().orElseThrow().retractions()).hasSize(1);
    }

    /** The retraction of a first crash stayed with one daemon, and the others counted that crash with later ones. */
    @Test
    void answerAfterTheFirstCrashIsReportedWhenAnotherCrashFollows() {
        QuarantineLedger other = newLedger();
        crashServers(1, INNOCENT);
        other.adopt(record(0, OTHER_ADDRESS, ledger.ownReports()));
        ledger.recordAnswer(INNOCENT);
        other.recordCrash(member(1), List.of(INNOCENT));
        assertThat(other.status(INNOCENT)).isEqualTo(Status.SUSPECT);

        ownReportChanges = 0;
        ledger.adopt(record(1, OTHER_ADDRESS, other.ownReports()));
        assertThat(ownReportChanges).isEqualTo(1);
        other.adopt(record(0, OTHER_ADDRESS, ledger.ownReports()));
        assertThat(other.status(INNOCENT)).isEqualTo(Status.CLEAR);
    }

    /** A daemon that restarts must not withdraw what its previous process reported. */
    @Test
    void restartedDaemonReportsTheCrashesOfItsPreviousProcessAgain() {
        crashServers(3, CRASHING);
        Member previous = record(1, OWN_ADDRESS, ledger.ownReports());
        QuarantineLedger restarted = newLedger();
        ownReportChanges = 0;
        restarted.adopt(JsonCodec.decode(JsonCodec.encode(previous), Member.class));
        assertThat(restarted.status(CRASHING)).isEqualTo(Status.QUARANTINED);
        assertThat(restarted.ownReports()).isEqualTo(ledger.ownReports());
        restarted.adopt(previous);
        assertThat(ownReportChanges).isEqualTo(1);
    }

    @Test
    void requestIsReleasedOnProbationAndThenForgotten() {
        crashServers(3, CRASHING);
        nowMs += QuarantineLedger.QUARANTINE_MS;
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.SUSPECT);
        assertThat(ledger.remainingMs(CRASHING)).isZero();
        ledger.recordCrash(member(3), List.of(CRASHING));
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.QUARANTINED);
        nowMs += QuarantineLedger.RETENTION_MS;
        ledger.expire();
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.CLEAR);
        assertThat(ledger.ownReports()).isEmpty();
    }

    /** The late retraction of one crash restarted the quarantine, although no server had crashed since. */
    @Test
    void retractionDoesNotProlongAQuarantine() {
        crashServers(4, CRASHING);
        nowMs += QuarantineLedger.QUARANTINE_MS / 2;
        CrashReports retraction =
                new CrashReports(List.of(), List.of(new Retraction(CRASHING, List.of(CrashId.of(member(0), 1)))));
        ledger.adopt(record(7, OTHER_ADDRESS, Optional.of(retraction)));
        assertThat(ledger.remainingMs(CRASHING)).isEqualTo(QuarantineLedger.QUARANTINE_MS / 2);
    }

    /** Beyond a number of crashes further ones were ignored, and the request was not quarantined again after a probation. */
    @Test
    void requestIsQuarantinedAgainAfterAnyNumberOfCrashes() {
        crashServers(3, CRASHING);
        for (int server = 3; server < 60; server++) {
            nowMs += QuarantineLedger.QUARANTINE_MS;
            assertThat(ledger.status(CRASHING)).isEqualTo(Status.SUSPECT);
            ledger.recordCrash(member(server), List.of(CRASHING));
            assertThat(ledger.status(CRASHING)).isEqualTo(Status.QUARANTINED);
        }
    }

    /** Many requests run at servers that crash; those with one crash must not displace those with more. */
    @Test
    void memoryAndReportsAreBounded() {
        crashServers(3, CRASHING);
        for (int server = 10; server < 100; server++) {
            long first = server * 1_000L;
            ledger.recordCrash(
                    member(server),
                    LongStream.range(first, first + 200)
                            .mapToObj(RequestFingerprint::new)
                            .toList());
        }
        assertThat(ledger.status(CRASHING)).isEqualTo(Status.QUARANTINED);
        Member withMostReports = record(1, OWN_ADDRESS, ledger.ownReports());
        assertThat(JsonCodec.encode(withMostReports).length).isLessThan(8_192);
        assertThat(ledger.ownReports().orElseThrow().crashes()).hasSize(4);
    }

    /** Daemons of an earlier version write records without crash reports. */
    @Test
    void recordOfAnEarlierVersionIsReadable() {
        Member member = record(1, OWN_ADDRESS, Optional.empty());
        String json = new String(JsonCodec.encode(member), UTF_8);
        assertThat(json).doesNotContain("crashReports");
        assertThat(JsonCodec.decode(json.getBytes(UTF_8), Member.class)).isEqualTo(member);
    }
}
