package org.coriandercrank.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.TableCodec;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.placement.internal.MemberLookup;
import org.junit.jupiter.api.Test;

/**
 * Guards against a member that counts as removed, so that others take its ranges while it serves them, because of what
 * the store answered in an earlier era or before the era had settled.
 */
final class StoreReturnLookupTest {
    private static final Era FIRST = new Era(1);
    private static final Era SECOND = new Era(2);
    private static final Generation OLD = Generation.NONE.next(FIRST);
    private static final Generation RECOVERED = OLD.next(SECOND);
    private static final Member SELF = TestFleet.member(1, MemberState.ACTIVE);
    private static final Member OTHER = TestFleet.member(2, MemberState.ACTIVE);
    private static final String OTHER_NAME = ObjectNames.member(OTHER.id());
    private static final String TABLE_NAME = ObjectNames.assignments(TestFleet.SERVICE);
    private static final long RETRY_MS = 1_000;
    private static final long ROLE_LIMIT_MS = 20_000;
    private static final long TICK_MS = 20;

    private final EraStore store = new EraStore(FIRST);
    private final EraDaemon daemon = new EraDaemon(store, SELF.id());
    private final Deque<CompletableFuture<Optional<StoredObject>>> lookups = store.gets(OTHER_NAME);

    @Test
    void lookupOfAnEarlierEraIsRepeated() {
        MemberLookup lookup = new MemberLookup(store, Runnable::run);
        RoutingSnapshot snapshot = RoutingSnapshot.empty(SELF.id());
        AssignmentTable table = table(RECOVERED, OTHER.id());
        lookup.resolveMissing(snapshot, table);
        store.setEra(SECOND);
        lookups.remove().complete(Optional.empty());
        assertThat(lookup.removedMembers()).isEmpty();

        assertThat(lookup.resolveMissing(snapshot, table)).isFalse();
        lookups.remove().complete(Optional.empty());
        assertThat(lookup.removedMembers()).containsExactly(OTHER.id());
    }

    /** The copy that the store returned from may be one from before the member wrote its record. */
    @Test
    void memberIsNotRemovedBeforeTheEraHasSettled() {
        store.setEra(SECOND);
        daemon.setStoreEra(SECOND, false);
        FakeDaemons.Gate gate = startOwnership(table(RECOVERED, SELF.id(), OTHER.id()));
        lookups.remove().complete(Optional.of(sealedOther(Revision.of(SECOND, 5))));
        assertThat(gate.rangeLoads()).isEmpty();

        daemon.setStoreEra(SECOND, true);
        daemon.runFor(RETRY_MS);
        lookups.remove().complete(Optional.of(sealedOther(Revision.of(SECOND, 5))));
        assertThat(gate.rangeLoads()).hasSize(1);
    }

    /** The store has named the new era, but the view has not yet. */
    @Test
    void memberThatWasMissingInAnEarlierEraIsLookedUpAgain() {
        FakeDaemons.Gate gate = startOwnership(table(OLD, SELF.id(), OTHER.id()));
        store.setEra(SECOND);
        daemon.runFor(RETRY_MS);
        lookups.remove().complete(Optional.empty());

        daemon.setStoreEra(SECOND, true);
        daemon.publish(table(RECOVERED, SELF.id(), OTHER.id()), Revision.of(SECOND, 9), SELF);
        assertThat(gate.rangeLoads()).isEmpty();
        assertThat(lookups).hasSize(1);
    }

    /** The planner found no record; the member has written it again since. */
    @Test
    void recordOfThePresentEraOverrulesALookup() {
        store.setEra(SECOND);
        daemon.setStoreEra(SECOND, true);
        AssignmentTable stored = table(RECOVERED, OTHER.id());
        daemon.publish(stored, Revision.of(SECOND, 5), SELF);
        startPlanner();
        assertThat(lookups).hasSize(1);
        lookups.remove().complete(Optional.empty());
        daemon.publish(stored, Revision.of(SECOND, 9), SELF, OTHER);
        StoredObject object = StoredObject.of(TABLE_NAME, Revision.of(SECOND, 4), TableCodec.encode(stored));
        store.gets(TABLE_NAME).forEach(read -> read.complete(Optional.of(object)));

        AssignmentTable latest = store.puts().stream()
                .filter(put -> put.name().equals(TABLE_NAME))
                .map(put -> TableCodec.decode(put.value()))
                .findFirst()
                .orElse(stored);
        assertThat(latest.assignments())
                .allMatch(
                        a -> a.owner().equals(OTHER.id()) || a.previousOwners().contains(OTHER.id()));
    }

    private FakeDaemons.Gate startOwnership(AssignmentTable table) {
        FakeDaemons.Gate gate = new FakeDaemons.Gate();
        daemon.publish(table, Revision.of(store.era(), 9), SELF);
        new RangeOwnership(daemon.dependencies(), () -> Long.MAX_VALUE / 2, gate, RangeOwnershipOptions.DEFAULTS)
                .start();
        assertThat(lookups).hasSize(1);
        return gate;
    }

    /** Starts a planner and answers its calls until it holds the role and has made its first plan. */
    private void startPlanner() {
        Planner planner = new Planner(daemon.dependencies(), PluginRegistry.load(), PlannerOptions.DEFAULTS);
        planner.start();
        Deque<CompletableFuture<Optional<StoredObject>>> roleReads = store.gets(ObjectNames.PLANNER);
        Optional<StoredObject> role = Optional.empty();
        for (long ms = 0; ms < ROLE_LIMIT_MS && !planner.holdsRole(); ms += TICK_MS) {
            daemon.runFor(TICK_MS);
            while (!store.puts().isEmpty()) {
                EraStore.Put put = store.puts().remove();
                Revision revision = Revision.of(SECOND, 100 + ms);
                role = Optional.of(StoredObject.of(put.name(), revision, put.value()));
                put.result().complete(revision);
            }
            while (!roleReads.isEmpty()) {
                roleReads.remove().complete(role);
            }
        }
        assertThat(planner.holdsRole()).isTrue();
    }

    private static StoredObject sealedOther(Revision revision) {
        return StoredObject.of(OTHER_NAME, revision, JsonCodec.encode(OTHER.withState(MemberState.SEALED)));
    }

    private static AssignmentTable table(Generation generation, MemberId owner, MemberId... previousOwners) {
        RangeAssignment all = new RangeAssignment(KeyRange.ALL, owner, generation, List.of(previousOwners));
        return new AssignmentTable(TestFleet.SERVICE, generation, List.of(all));
    }
}
