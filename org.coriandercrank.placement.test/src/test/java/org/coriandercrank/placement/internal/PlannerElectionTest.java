package org.coriandercrank.placement.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.placement.internal.PlannerElection.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Fault cases of the planner role. */
final class PlannerElectionTest {
    private static final MemberId SELF = new MemberId("self");
    private static final MemberId OTHER = new MemberId("other");
    private static final PlannerElection.Options DELAYS = new PlannerElection.Options(500, 1_500, 200, 10_000, 3);

    private final PlannerElection election = new PlannerElection(SELF, DELAYS);

    private void read(PlannerRecord record, long revision, long nowMs) {
        election.readStarted();
        election.readDone(Optional.ofNullable(record), new Revision(revision), nowMs);
    }

    /** Guards against a role taken from a living holder, and against a fleet in which nobody takes a free role. */
    @ParameterizedTest
    @CsvSource({
        "a silent holder is replaced after 1.5 s,      1500, 5, 5, 0, true,  false, WRITE",
        "a silent holder is kept before that,          1400, 5, 5, 0, true,  false, NONE",
        "rank 2 waits 400 ms longer,                   1800, 5, 5, 2, true,  false, NONE",
        "a renewed counter restarts the wait,          1500, 5, 6, 0, true,  false, NONE",
        "a sealed holder is replaced at once,           500, 5, 5, 1, true,  true,  WRITE",
        "a member that is not active takes nothing,    9000, 5, 5, 0, false, true,  NONE",
    })
    void takesTheRoleOnlyWhenDue(
            String label,
            long atMs,
            long counter,
            long laterCounter,
            int rank,
            boolean eligible,
            boolean lost,
            Step expected) {
        read(new PlannerRecord(OTHER, counter), 1, 0);
        read(new PlannerRecord(OTHER, laterCounter), 2, atMs);
        assertThat(election.nextStep(atMs, eligible, rank, lost)).as(label).isEqualTo(expected);
    }

    /** Guards against a start without any planner. */
    @Test
    void takesAnAbsentObject() {
        assertThat(election.nextStep(0, true, 0, false)).isEqualTo(Step.READ);
        read(null, 0, 0);
        assertThat(election.nextStep(0, true, 0, false)).isEqualTo(Step.WRITE);
    }

    /** Guards against a planner that gives up, or writes twice, when the answer to a write was lost. */
    @Test
    void resolvesAnUnansweredWriteByReading() {
        read(null, 0, 0);
        PlannerRecord written = election.writeStarted(10);
        read(written, 7, 30);
        assertThat(election.isHolder(40)).isTrue();
        assertThat(election.revision()).isEqualTo(new Revision(7));
        assertThat(election.nextStep(40, true, 0, false)).isEqualTo(Step.NONE);
    }

    /** Guards against reads at every tick while the store is down. */
    @Test
    void keepsThePeriodOfReadsWhenTheStoreFails() {
        election.readStarted();
        election.callFailed(100);
        assertThat(election.nextStep(599, true, 0, false)).isEqualTo(Step.NONE);
        assertThat(election.nextStep(600, true, 0, false)).isEqualTo(Step.READ);
        assertThat(election.nextStep(10_099, true, 3, false)).isEqualTo(Step.NONE);
    }

    /** Guards against two planners: the role lapses when it could not be renewed, or another member has taken it. */
    @Test
    void losesTheRole() {
        read(null, 0, 0);
        election.writeDone(election.writeStarted(0), new Revision(1));
        assertThat(election.isHolder(1_499)).isTrue();
        assertThat(election.isHolder(1_500)).isFalse();
        read(new PlannerRecord(OTHER, 2), 2, 600);
        assertThat(election.isHolder(600)).isFalse();
    }
}
