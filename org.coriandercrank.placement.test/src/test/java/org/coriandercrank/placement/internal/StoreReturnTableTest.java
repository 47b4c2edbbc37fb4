package org.coriandercrank.placement.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.HeldRangesQuery;
import org.coriandercrank.kernel.message.HeldRangesReport;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.placement.EraDaemon;
import org.coriandercrank.placement.EraStore;
import org.coriandercrank.placement.PlacementDependencies;
import org.coriandercrank.placement.TestFleet;
import org.junit.jupiter.api.Test;

/** Guards against a table that is written, or counts as that of the store, in a later era than its own. */
final class StoreReturnTableTest {
    private static final MemberId A = new MemberId("a");
    private static final Member SELF = TestFleet.member(1, MemberState.ACTIVE);
    private static final Era FIRST = new Era(1);
    private static final Era SECOND = new Era(2);
    private static final Generation OLD = Generation.NONE.next(FIRST);
    private static final Generation LATER = OLD.next(FIRST);
    private static final Generation RECOVERED = LATER.next(SECOND);
    private static final String NAME = ObjectNames.assignments(TestFleet.SERVICE);

    private final EraStore store = new EraStore(FIRST);
    private final TableWriter writer = new TableWriter(store, (table, object) -> {});

    /** The read that the decision rests on is answered in the first era. */
    @Test
    void tableOfAnEarlierEraIsNotWritten() {
        CompletableFuture<TableWriter.Outcome> outcome = write(LATER);
        store.setEra(SECOND);
        store.gets(NAME).remove().complete(Optional.empty());

        assertThat(store.puts()).isEmpty();
        assertThatThrownBy(outcome::join)
                .extracting(failure -> CrankException.of(failure).code())
                .isEqualTo(ResultCode.REVISION_CONFLICT);
    }

    @Test
    void tableOfThePresentEraIsWritten() {
        CompletableFuture<TableWriter.Outcome> outcome = write(RECOVERED);
        store.setEra(SECOND);
        store.gets(NAME).remove().complete(Optional.empty());
        store.puts().remove().result().complete(Revision.of(SECOND, 7));

        assertThat(outcome.join().written()).isPresent();
    }

    /** The copy that the store returned from has the table, but nothing shows that it has what preceded the table. */
    @Test
    void unansweredWriteDoesNotCountInALaterEra() {
        CompletableFuture<TableWriter.Outcome> outcome = write(LATER);
        store.gets(NAME).remove().complete(Optional.empty());
        EraStore.Put put = store.puts().remove();
        put.result().completeExceptionally(new CrankException(ResultCode.WRITE_UNANSWERED, NAME));
        store.setEra(SECOND);
        store.gets(NAME).remove().complete(Optional.of(StoredObject.of(NAME, Revision.of(SECOND, 7), put.value())));

        assertThat(outcome.join()).isEqualTo(new TableWriter.Outcome(table(LATER), Optional.empty()));
    }

    @Test
    void needForARecoveryLastsUntilTheStoreHasATableOfTheEra() {
        ServicePlanningState state = new ServicePlanningState(TestFleet.SERVICE, 110, 0);
        state.updateTable(table(RECOVERED));
        state.beginWrite();
        state.updateStoredTable(table(LATER), SECOND);
        assertThat(state.isRecoveryRequired()).isTrue();
        assertThat(state.table().generation()).isEqualTo(RECOVERED);

        state.endWrite(0);
        state.beginWrite();
        state.updateStoredTable(AssignmentTable.empty(TestFleet.SERVICE), SECOND);
        state.endWrite(0);
        assertThat(state.isRecoveryRequired()).isTrue();

        state.updateStoredTable(table(RECOVERED.next(SECOND)), SECOND);
        assertThat(state.isRecoveryRequired()).isFalse();
    }

    /** The store has a table of an earlier era, although one of the present era is known. */
    @Test
    void recoveryThatAsksAgainDoesNotEndTheNeedForIt() {
        EraDaemon daemon = new EraDaemon(store, SELF.id());
        PlacementDependencies dependencies = daemon.dependencies();
        dependencies
                .peerHandlers()
                .register(
                        HeldRangesQuery.class,
                        (sender, query) -> CompletableFuture.completedFuture(
                                new HeldRangesReport(SELF.id(), TestFleet.SERVICE, SECOND, false, List.of())));
        TableRecovery recovery = new TableRecovery(
                new MemberLookup(store, Runnable::run),
                new HeldRangesCollector(SELF.id(), daemon, dependencies.peerHandlers(), 100),
                writer,
                Runnable::run,
                daemon.clock(),
                dependencies.decisionLog());
        CompletableFuture<TableWriter.Outcome> outcome =
                recovery.recover(table(RECOVERED), SECOND, (input, members) -> Optional.empty());
        StoredObject self =
                StoredObject.of(ObjectNames.member(SELF.id()), Revision.of(SECOND, 5), JsonCodec.encode(SELF));
        store.lists().remove().complete(new WatchBatch(Revision.of(SECOND, 6), List.of(self), true));

        ServicePlanningState state = new ServicePlanningState(TestFleet.SERVICE, 110, 0);
        state.updateStoredTable(outcome.join().table(), SECOND);
        assertThat(outcome.join().written()).isEmpty();
        assertThat(state.isRecoveryRequired()).isTrue();
    }

    private CompletableFuture<TableWriter.Outcome> write(Generation generation) {
        TablePlanner.Decision decision =
                new TablePlanner.Decision(TablePlanner.Kind.POLICY, table(generation), List.of());
        return writer.write(
                TestFleet.SERVICE, Runnable::run, table -> CompletableFuture.completedFuture(Optional.of(decision)));
    }

    private static AssignmentTable table(Generation generation) {
        return new AssignmentTable(
                TestFleet.SERVICE, generation, List.of(new RangeAssignment(KeyRange.ALL, A, generation, List.of())));
    }
}
