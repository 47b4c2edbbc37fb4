package org.coriandercrank.lease.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.lease.HolderAction;
import org.coriandercrank.lease.LeaseHolder;
import org.coriandercrank.lease.LeaseTiming;
import org.junit.jupiter.api.Test;

/** Guards the liveness of the lease, which the safety property does not see. */
class LeaseHolderTest {
    private static final long MS = 1_000_000;
    private static final MemberId A = new MemberId("a");
    private static final MemberId B = new MemberId("b");
    private static final MemberId C = new MemberId("c");

    private final LeaseHolder holder = new LeaseHolder(LeaseTiming.ofMs(2_000, 500, 105), member(A, B), 0);

    @Test
    void witnessesKeepTheLeaseWhileNoWriteIsAnswered() {
        join();
        for (long ms = 1; ms < 600_000; ms += 50) {
            answerHeartbeats(holder.tick(ms * MS), ms * MS, A, B);
            assertThat(holder.validUntilNanos()).as("at %d ms", ms).isGreaterThan(ms * MS);
        }
    }

    @Test
    void changeOfAWitnessDoesNotInterruptTheLease() {
        join();
        holder.setDesired(member(A, C));
        long revision = 10;
        for (long ms = 1; ms < 10_000; ms += 50) {
            List<HolderAction> actions = holder.tick(ms * MS);
            assertThat(holder.validUntilNanos()).as("at %d ms", ms).isGreaterThan(ms * MS);
            answerHeartbeats(actions, ms * MS, A, C);
            for (HolderAction.WriteRecord write : writes(actions)) {
                revision++;
                holder.writeSucceeded(write.operation(), new Revision(revision), ms * MS + MS);
            }
        }
        assertThat(holder.confirmed().orElseThrow().member().witnesses()).containsExactly(A, C);
    }

    @Test
    void refusalLeadsToARewrite() {
        join();
        answerHeartbeats(holder.tick(MS), MS, A, B);
        assertThat(writes(holder.refusalReceived(new Revision(10), 2 * MS)))
                .singleElement()
                .extracting(HolderAction.WriteRecord::expected)
                .isEqualTo(new Revision(10));
    }

    @Test
    void unansweredWriteIsResolvedByReading() {
        HolderAction.WriteRecord write = writes(holder.tick(0)).get(0);
        List<HolderAction> actions = holder.writeUnanswered(write.operation(), 400 * MS);
        HolderAction.ReadRecord read = (HolderAction.ReadRecord) actions.get(0);
        Optional<VersionedMember> found = Optional.of(new VersionedMember(write.record(), new Revision(10)));
        holder.readSucceeded(read.operation(), found, 410 * MS);
        assertThat(holder.confirmed()).isEqualTo(found);
    }

    @Test
    void sealedRecordEndsTheIncarnation() {
        join();
        HolderAction.WriteRecord write =
                writes(holder.refusalReceived(new Revision(10), MS)).get(0);
        HolderAction.ReadRecord read = (HolderAction.ReadRecord)
                holder.writeConflicted(write.operation(), 2 * MS).get(0);
        Member sealed = write.record().withState(MemberState.SEALED);
        assertThat(holder.readSucceeded(
                        read.operation(), Optional.of(new VersionedMember(sealed, new Revision(11))), 3 * MS))
                .containsExactly(new HolderAction.End("sealed"));
        assertThat(holder.isEnded()).isTrue();
    }

    private void join() {
        HolderAction.WriteRecord write = writes(holder.tick(0)).get(0);
        answerHeartbeats(holder.writeSucceeded(write.operation(), new Revision(10), 0), 0, A, B);
    }

    private void answerHeartbeats(List<HolderAction> actions, long nowNanos, MemberId... alive) {
        answerHeartbeats(holder, actions, nowNanos, alive);
    }

    private static void answerHeartbeats(
            LeaseHolder holder, List<HolderAction> actions, long nowNanos, MemberId... alive) {
        for (HolderAction action : actions) {
            if (action instanceof HolderAction.SendHeartbeat heartbeat
                    && List.of(alive).contains(heartbeat.witness())) {
                holder.heartbeatAnswered(heartbeat.witness(), heartbeat.sequence(), true, nowNanos);
            }
        }
    }

    private static List<HolderAction.WriteRecord> writes(List<HolderAction> actions) {
        return actions.stream()
                .filter(HolderAction.WriteRecord.class::isInstance)
                .map(HolderAction.WriteRecord.class::cast)
                .toList();
    }

    private static Member member(MemberId... witnesses) {
        HostAddress address = new HostAddress("127.0.0.1", 1);
        return new Member(
                new MemberId("holder"),
                address,
                address,
                address,
                new Region("r"),
                new FailureDomain("d"),
                MemberState.ACTIVE,
                Optional.empty(),
                List.of(witnesses));
    }

    /** A restarted daemon takes over the record of its former process without a move of its ranges. */
    @Test
    void leftRecordIsResumedByAWriteOnItsRevision() {
        LeaseHolder resumed = new LeaseHolder(LeaseTiming.ofMs(2_000, 500, 105), member(A, B), 0, true);
        HolderAction.WriteRecord create = writes(resumed.tick(MS)).get(0);
        assertThat(create.expected()).isEqualTo(Revision.NONE);
        List<HolderAction> afterConflict = resumed.writeConflicted(create.operation(), 2 * MS);
        HolderAction.ReadRecord read = (HolderAction.ReadRecord) afterConflict.get(0);

        List<HolderAction> afterRead = resumed.readSucceeded(
                read.operation(), Optional.of(new VersionedMember(member(A, B), new Revision(41))), 3 * MS);
        HolderAction.WriteRecord write = writes(afterRead).get(0);
        assertThat(write.expected()).isEqualTo(new Revision(41));
        assertThat(resumed.validUntilNanos()).as("before the own write").isLessThanOrEqualTo(3 * MS);

        answerHeartbeats(resumed, resumed.writeSucceeded(write.operation(), new Revision(42), 4 * MS), 5 * MS, A, B);
        assertThat(resumed.validUntilNanos()).isGreaterThan(1_000 * MS);
    }

    /** A write of the former process that lands late must not end the incarnation. */
    @Test
    void lateWriteOfTheFormerProcessIsReadAndReplaced() {
        LeaseHolder resumed = new LeaseHolder(LeaseTiming.ofMs(2_000, 500, 105), member(A, B), 0, true);
        HolderAction.WriteRecord create = writes(resumed.tick(MS)).get(0);
        HolderAction.ReadRecord read = (HolderAction.ReadRecord)
                resumed.writeConflicted(create.operation(), 2 * MS).get(0);
        HolderAction.WriteRecord write = writes(resumed.readSucceeded(
                        read.operation(), Optional.of(new VersionedMember(member(A, C), new Revision(41))), 3 * MS))
                .get(0);
        HolderAction.ReadRecord again = (HolderAction.ReadRecord)
                resumed.writeConflicted(write.operation(), 4 * MS).get(0);
        List<HolderAction> actions = resumed.readSucceeded(
                again.operation(), Optional.of(new VersionedMember(member(B, C), new Revision(43))), 5 * MS);
        assertThat(resumed.isEnded()).isFalse();
        assertThat(writes(actions))
                .singleElement()
                .satisfies(w -> assertThat(w.expected()).isEqualTo(new Revision(43)));
    }

    @Test
    void sealedLeftRecordEndsTheIncarnation() {
        LeaseHolder resumed = new LeaseHolder(LeaseTiming.ofMs(2_000, 500, 105), member(A, B), 0, true);
        HolderAction.WriteRecord create = writes(resumed.tick(MS)).get(0);
        HolderAction.ReadRecord read = (HolderAction.ReadRecord)
                resumed.writeConflicted(create.operation(), 2 * MS).get(0);
        VersionedMember sealed = new VersionedMember(member(A, B).withState(MemberState.SEALED), new Revision(41));
        resumed.readSucceeded(read.operation(), Optional.of(sealed), 3 * MS);
        assertThat(resumed.isEnded()).isTrue();
    }
}
