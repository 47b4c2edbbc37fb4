package org.coriandercrank.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.ReleaseAnswer;
import org.coriandercrank.kernel.message.ReleaseRequest;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.junit.jupiter.api.Test;

/**
 * Guards against a daemon that does not answer for seconds while its server leaves: it gets a release request for each
 * stripe, and passed over all ranges and waiting requests twice for each request and once for each completed release.
 * A pass reads the snapshot, so the reads are counted.
 */
final class LeavingMemberWorkTest {
    private static final int MEMBERS = 12;
    private static final int STRIPES_PER_MEMBER = 100;
    private static final int MAX_READS_PER_BURST = 4;
    private static final Generation BEFORE = new Generation(1);
    private static final Generation AFTER = new Generation(2);

    private final Member[] members = new Member[MEMBERS];
    private final SlowGate gate = new SlowGate();
    private EraDaemon daemon;
    private PlacementDependencies dependencies;
    private SerialExecutor executor;

    /** A gate whose releases end when the test ends them. */
    private static final class SlowGate extends FakeDaemons.Gate {
        private final Map<KeyRange, CompletableFuture<TransferredRecords>> releases = new LinkedHashMap<>();

        @Override
        public synchronized CompletableFuture<TransferredRecords> release(KeyRange range) {
            return releases.computeIfAbsent(range, r -> new CompletableFuture<>());
        }

        @Override
        public boolean mayHoldEarlierGrant(KeyRange range) {
            return false;
        }
    }

    @Test
    void messagesThatArriveTogetherCauseOnePass() {
        for (int i = 0; i < MEMBERS; i++) {
            members[i] = TestFleet.member(i, MemberState.ACTIVE);
        }
        daemon = new EraDaemon(new EraStore(Era.NONE), members[0].id());
        dependencies = daemon.dependencies();
        executor = dependencies.executorFactory().create("test", STRIPES_PER_MEMBER);
        daemon.publish(table(BEFORE), new Revision(1), members);
        new RangeOwnership(dependencies, () -> Long.MAX_VALUE / 2, gate, RangeOwnershipOptions.DEFAULTS).start();
        assertThat(gate.rangeLoads()).hasSize(STRIPES_PER_MEMBER);

        AssignmentTable table = table(AFTER);
        daemon.publish(table, new Revision(2), members);
        List<RangeAssignment> moved = table.assignments().stream()
                .filter(assignment -> assignment.fence().equals(AFTER))
                .toList();
        List<CompletableFuture<?>> answers = new ArrayList<>();
        int readsByRequests = readsOf(() -> moved.forEach(assignment -> answers.add(requestRelease(assignment))));
        assertThat(gate.releases.keySet())
                .containsExactlyInAnyOrderElementsOf(
                        moved.stream().map(RangeAssignment::range).toList());
        int readsByReleases =
                readsOf(() -> List.copyOf(gate.releases.values()).forEach(r -> r.complete(TransferredRecords.NONE)));

        assertThat(answers)
                .hasSize(STRIPES_PER_MEMBER)
                .allSatisfy(answer ->
                        assertThat(((ReleaseAnswer) answer.join()).released()).isTrue());
        assertThat(readsByRequests).isBetween(1, MAX_READS_PER_BURST);
        assertThat(readsByReleases).isBetween(1, MAX_READS_PER_BURST);
    }

    /** Counts the reads of the snapshot that a burst of messages causes, all of which arrive before any is handled. */
    private int readsOf(Runnable burst) {
        int before = daemon.snapshotReads();
        executor.execute(burst);
        return daemon.snapshotReads() - before;
    }

    private CompletableFuture<?> requestRelease(RangeAssignment assignment) {
        ReleaseRequest request =
                new ReleaseRequest(assignment.owner(), TestFleet.SERVICE, assignment.range(), assignment.fence());
        return dependencies.peerHandlers().find(request).orElseThrow().handle(assignment.owner(), request);
    }

    /** Stripes of all members in turn; in the later table the others have those of the first. */
    private AssignmentTable table(Generation generation) {
        List<KeyRange> stripes = KeyRanges.divide(Collections.nCopies(MEMBERS * STRIPES_PER_MEMBER, 1.0));
        List<RangeAssignment> assignments = new ArrayList<>();
        for (int i = 0; i < stripes.size(); i++) {
            boolean moved = generation.equals(AFTER) && i % MEMBERS == 0;
            MemberId owner = members[moved ? 1 + i / MEMBERS % (MEMBERS - 1) : i % MEMBERS].id();
            assignments.add(new RangeAssignment(
                    stripes.get(i), owner, moved ? AFTER : BEFORE, moved ? List.of(members[0].id()) : List.of()));
        }
        return new AssignmentTable(TestFleet.SERVICE, generation, assignments);
    }
}
