package org.coriandercrank.control.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.control.internal.Dissemination;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.Digest;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.ownership.StoreEra;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.TableCodec;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a daemon that drops members which the store has lost while they still write themselves again, and one
 * that goes on with what the store had in an earlier era.
 */
class StoreReturnViewTest {
    private static final MemberId SELF = new MemberId("self");
    private static final MemberId KEPT = new MemberId("kept");
    private static final MemberId LOST = new MemberId("lost");
    private static final ServiceName SERVICE = new ServiceName("desk");
    private static final Era FIRST = new Era(1);
    private static final Era SECOND = new Era(2);

    /** Expiry of a vote by 105 percent of the TTL, the wait of a watch and a heartbeat interval. */
    private static final long SETTLING_MS = 2_100 + 1_000 + 500;

    /** Longer than the interval between two calls to the store. Few of them pass before the daemon watches it. */
    private static final long PAUSE_MS = 500;

    /** Configuration, members and assignments; evacuations are read only if the options say so. */
    private static final int KINDS = 3;

    private final EraContext daemon = new EraContext(ControlOptions.DEFAULTS, SELF, FIRST);

    @BeforeEach
    void knowTheFirstEra() {
        daemon.context().eras().observe(FIRST, daemon.context().nowNanos());
        daemon.time().runFor(SETTLING_MS + 1);
        daemon.applyMembers(
                Revision.of(FIRST, 10),
                EraContext.record(KEPT, Revision.of(FIRST, 8)),
                EraContext.record(LOST, Revision.of(FIRST, 9)));
        daemon.view().updateEra();
        assertThat(daemon.view().storeEra().settled()).isTrue();
    }

    /** A relay learns of the new era by the listing that lacks the member. */
    @Test
    void memberThatTheStoreLostIsKeptUntilTheEraHasSettled() {
        listTheSecondEra();
        assertThat(daemon.view().member(LOST)).isPresent();

        daemon.time().runFor(SETTLING_MS);
        daemon.view().updateEra();
        assertThat(daemon.view().member(LOST)).isPresent();

        daemon.time().runFor(1);
        daemon.view().updateEra();
        assertThat(daemon.view().member(LOST)).isEmpty();
        assertThat(daemon.view().member(KEPT)).isPresent();
    }

    @Test
    void memberThatWroteItselfAgainIsKept() {
        listTheSecondEra();
        daemon.view().applyPushed(FetchObject.Kind.MEMBERS, EraContext.record(LOST, Revision.of(SECOND, 9)));
        daemon.time().runFor(SETTLING_MS + 1);
        daemon.view().updateEra();
        assertThat(daemon.view().storeEra()).isEqualTo(new StoreEra(SECOND, true));
        assertThat(daemon.view().member(LOST)).isPresent();
    }

    @Test
    void pushedObjectNamesTheEra() {
        daemon.view().applyPushed(FetchObject.Kind.MEMBERS, EraContext.record(KEPT, Revision.of(SECOND, 8)));
        daemon.view().updateEra();
        assertThat(daemon.view().storeEra().era()).isEqualTo(SECOND);
        assertThat(daemon.view().storeEra().settled()).isFalse();
    }

    /** A listener of the view that acquires ranges must not see the table before the era of its position. */
    @Test
    void pushedTableOfAnEarlierEraIsPublishedWithTheEraOfItsPosition() {
        List<Era> publishedIn = new ArrayList<>();
        daemon.view().subscribe(snapshot -> {
            if (snapshot.table(SERVICE).isPresent()) {
                publishedIn.add(daemon.view().storeEra().era());
            }
        });
        AssignmentTable table = new AssignmentTable(SERVICE, Generation.NONE.next(FIRST), List.of());
        daemon.view()
                .applyPushed(
                        FetchObject.Kind.ASSIGNMENTS,
                        StoredObject.of(
                                ObjectNames.assignments(SERVICE), Revision.of(SECOND, 9), TableCodec.encode(table)));

        assertThat(publishedIn).containsExactly(SECOND);
    }

    /** The daemon is not a relay, so it makes no other calls to the store meanwhile. */
    @Test
    void everyKindIsListedAgainInANewEra() {
        Dissemination dissemination = new Dissemination(daemon.context(), daemon.view(), daemon.newMetrics());
        tick(dissemination);
        tick(dissemination);
        assertThat(daemon.listings()).hasSize(KINDS);

        daemon.setEra(SECOND);
        Revision revision = Revision.of(SECOND, 10);
        dissemination.digestReceived(KEPT, new Digest(revision, revision, revision));
        tick(dissemination);
        assertThat(daemon.listings()).hasSize(2 * KINDS);

        tick(dissemination);
        assertThat(daemon.listings()).hasSize(2 * KINDS);
    }

    private void listTheSecondEra() {
        daemon.applyMembers(Revision.of(SECOND, 8), EraContext.record(KEPT, Revision.of(SECOND, 8)));
    }

    private void tick(Dissemination dissemination) {
        dissemination.tick(
                EraContext.member(SELF), false, Set.of(), daemon.context().nowNanos());
        daemon.time().runFor(PAUSE_MS);
    }
}
