package org.coriandercrank.lease.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.lease.EraTransition;
import org.coriandercrank.lease.HolderAction;
import org.coriandercrank.lease.LeaseHolder;
import org.coriandercrank.lease.LeaseTiming;
import org.junit.jupiter.api.Test;

/** Guards against a lease that outlives a seal which the store lost when it returned from an older copy. */
class StoreReturnTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final LeaseTiming TIMING = LeaseTiming.ofMs(2_000, 500, 105);
    private static final long SPREAD_NANOS = 1_500 * NANOS_PER_MS;
    private static final MemberId WITNESS_A = new MemberId("a");
    private static final MemberId WITNESS_B = new MemberId("b");
    private static final Era FIRST = new Era(1);
    private static final Era SECOND = new Era(2);

    private final LeaseHolder holder = new LeaseHolder(TIMING, SimulatedMember.of(List.of(WITNESS_A, WITNESS_B)), 0);

    @Test
    void unbrokenLeaseIsKeptAndTheRecordIsWrittenAgain() {
        join();
        long readOperation = read(holder.eraObserved(SECOND, 100 * NANOS_PER_MS));
        List<HolderAction> actions = holder.readSucceeded(readOperation, Optional.empty(), 110 * NANOS_PER_MS);
        HolderAction.WriteRecord write = onlyWrite(actions);
        assertThat(write.expected()).isEqualTo(Revision.NONE);
        holder.writeSucceeded(write.operation(), Revision.of(SECOND, 7), 120 * NANOS_PER_MS);

        assertThat(holder.isEnded()).isFalse();
        assertThat(holder.confirmed().orElseThrow().revision()).isEqualTo(Revision.of(SECOND, 7));
        assertThat(holder.validUntilNanos()).isGreaterThan(120 * NANOS_PER_MS);
    }

    @Test
    void olderRecordIsReplacedOnTheConditionOfItsNewRevision() {
        join();
        long readOperation = read(holder.eraObserved(SECOND, 100 * NANOS_PER_MS));
        HolderAction.WriteRecord write = onlyWrite(
                holder.readSucceeded(readOperation, Optional.of(olderRecord(MemberState.JOINING)), 110 * NANOS_PER_MS));
        assertThat(write.expected()).isEqualTo(Revision.of(SECOND, 5));
        assertThat(write.record().state()).isEqualTo(MemberState.ACTIVE);
    }

    @Test
    void incarnationWhoseLeaseLapsedBeforeTheReturnEnds() {
        join();
        holder.tick(3_000 * NANOS_PER_MS);
        long readOperation = read(holder.eraObserved(SECOND, 3_100 * NANOS_PER_MS));
        List<HolderAction> actions =
                holder.readSucceeded(readOperation, Optional.of(olderRecord(MemberState.ACTIVE)), 3_110 * NANOS_PER_MS);

        assertThat(actions).containsExactly(new HolderAction.End("store-returned"));
        assertThat(holder.validUntilNanos()).isLessThanOrEqualTo(3_110 * NANOS_PER_MS);
    }

    @Test
    void witnessVotesInANewEraOnlyForRecordsThatSurvived() {
        EraTransition eras = new EraTransition(TIMING, SPREAD_NANOS);
        Revision named = Revision.of(FIRST, 10);
        assertThat(eras.mayAcknowledge(named, Optional.empty())).isTrue();

        eras.observe(SECOND, 0);
        assertThat(eras.mayAcknowledge(named, Optional.of(named))).isFalse();
        assertThat(eras.mayAcknowledge(named, Optional.empty())).isFalse();
        assertThat(eras.mayAcknowledge(named, Optional.of(Revision.of(SECOND, 9))))
                .isFalse();
        assertThat(eras.mayAcknowledge(named, Optional.of(Revision.of(SECOND, 10))))
                .isTrue();
        assertThat(eras.mayAcknowledge(Revision.of(SECOND, 3), Optional.empty()))
                .isTrue();
    }

    @Test
    void eraSettlesOnlyAfterAllVotesForLostRecordsHaveExpired() {
        EraTransition eras = new EraTransition(TIMING, SPREAD_NANOS);
        assertThat(eras.isSettled(0)).isTrue();
        eras.observe(SECOND, 0);
        assertThat(eras.isSettled(3_600 * NANOS_PER_MS)).isFalse();
        assertThat(eras.isSettled(3_601 * NANOS_PER_MS)).isTrue();
        assertThat(eras.observe(FIRST, 5_000 * NANOS_PER_MS)).isFalse();
        assertThat(eras.era()).isEqualTo(SECOND);
    }

    /** Makes the lease valid until 2 s by the vote of the store and of one witness. */
    private void join() {
        HolderAction.WriteRecord write = onlyWrite(holder.tick(0));
        List<HolderAction> actions = holder.writeSucceeded(write.operation(), Revision.of(FIRST, 10), NANOS_PER_MS);
        HolderAction.SendHeartbeat heartbeat = actions.stream()
                .filter(HolderAction.SendHeartbeat.class::isInstance)
                .map(HolderAction.SendHeartbeat.class::cast)
                .filter(sent -> sent.witness().equals(WITNESS_A))
                .findFirst()
                .orElseThrow();
        holder.heartbeatAnswered(WITNESS_A, heartbeat.sequence(), true, 2 * NANOS_PER_MS);
        assertThat(holder.validUntilNanos()).isGreaterThan(1_900 * NANOS_PER_MS);
    }

    private static VersionedMember olderRecord(MemberState state) {
        return new VersionedMember(SimulatedMember.of(List.of(WITNESS_A)).withState(state), Revision.of(SECOND, 5));
    }

    private static long read(List<HolderAction> actions) {
        return actions.stream()
                .filter(HolderAction.ReadRecord.class::isInstance)
                .map(HolderAction.ReadRecord.class::cast)
                .findFirst()
                .orElseThrow()
                .operation();
    }

    private static HolderAction.WriteRecord onlyWrite(List<HolderAction> actions) {
        return actions.stream()
                .filter(HolderAction.WriteRecord.class::isInstance)
                .map(HolderAction.WriteRecord.class::cast)
                .findFirst()
                .orElseThrow();
    }
}
