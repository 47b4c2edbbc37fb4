package org.coriandercrank.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.kernel.time.SystemTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the planner and range ownership of four daemons together, with fakes of all other components. */
final class PlacementTest {
    private static final long TIMEOUT_MS = 10_000;
    private static final PlannerOptions PLANNER_OPTIONS = new PlannerOptions(
            /* renewIntervalMs= */ 100,
            /* roleTimeoutMs= */ 400,
            /* rankDelayMs= */ 50,
            /* slowReadIntervalMs= */ 1_000,
            /* fastReaders= */ 3,
            /* tickIntervalMs= */ 20,
            /* firstTableDelayMs= */ 200,
            /* loadQueryIntervalMs= */ 200,
            /* loadQueryTimeoutMs= */ 150,
            /* sealedRetentionMs= */ 60_000);

    private final FakeDaemons daemons = new FakeDaemons();
    private final SystemTimerService timers = new SystemTimerService();
    private final List<AutoCloseable> components = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();

    @BeforeEach
    void start() {
        daemons.write(ObjectNames.CONFIGURATION, JsonCodec.encode(TestFleet.configuration()));
        for (int i = 0; i < 4; i++) {
            startDaemon(i);
        }
        awaitServed();
    }

    private void startDaemon(int number) {
        Member member = TestFleet.member(number, MemberState.ACTIVE);
        members.add(member);
        daemons.write(member);
        PlacementDependencies dependencies = daemons.dependencies(member.id(), timers);
        RangeOwnership ownership = new RangeOwnership(
                dependencies, () -> Long.MAX_VALUE / 2, daemons.gates.get(member.id()), RangeOwnershipOptions.DEFAULTS);
        Planner planner = new Planner(dependencies, PluginRegistry.load(), PLANNER_OPTIONS);
        ownership.start();
        planner.start();
        components.add(planner);
        components.add(ownership);
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable component : components) {
            component.close();
        }
        timers.close();
    }

    /**
     * Guards against keys that stay without an owner after the loss of a member, and against moves of ranges of other
     * members.
     */
    @Test
    void takesOverRangesOfASealedMember() {
        List<RangeAssignment> before = daemons.table().assignments();
        MemberId lost = members.get(0).id();
        daemons.write(members.get(0).withState(MemberState.SEALED));
        await(() -> !daemons.table().references(lost));
        awaitServed();
        for (RangeAssignment old : before) {
            if (!old.owner().equals(lost)) {
                assertThat(daemons.table()
                                .find(old.range().first())
                                .orElseThrow()
                                .owner())
                        .isEqualTo(old.owner());
            }
        }
    }

    /** Guards against a leaving member that keeps ranges, and against a joining member that gets none. */
    @Test
    void movesRangesOnLeaveAndJoin() {
        daemons.write(members.get(1).withState(MemberState.LEAVING));
        await(() -> daemons.table().ownedBy(members.get(1).id()).isEmpty());
        awaitServed();
        await(() -> daemons.gates.get(members.get(1).id()).rangeLoads().isEmpty());
        startDaemon(4);
        await(() -> !daemons.gates.get(members.get(4).id()).rangeLoads().isEmpty());
        awaitServed();
    }

    /**
     * Guards against ranges of a withdrawn service that stay served, and against a table that starts at generation 1
     * when the service is added again.
     */
    @Test
    void reassignsRangesAfterWithdrawal() {
        daemons.write(ObjectNames.CONFIGURATION, JsonCodec.encode(Configuration.EMPTY));
        await(() -> daemons.table().assignments().isEmpty()
                && daemons.gates.values().stream().allMatch(g -> g.rangeLoads().isEmpty()));
        long generation = daemons.table().generation().value();
        daemons.write(ObjectNames.CONFIGURATION, JsonCodec.encode(TestFleet.configuration()));
        awaitServed();
        assertThat(daemons.table().assignments())
                .allSatisfy(a -> assertThat(a.fence().value()).isGreaterThan(generation));
    }

    private void awaitServed() {
        await(() -> {
            List<RangeAssignment> assignments = daemons.table().assignments();
            return !assignments.isEmpty()
                    && assignments.stream().allMatch(a -> a.previousOwners().isEmpty() && isServed(a));
        });
    }

    private boolean isServed(RangeAssignment assignment) {
        List<KeyRange> served = daemons.gates.get(assignment.owner()).rangeLoads().stream()
                .map(load -> load.range())
                .toList();
        return KeyRanges.subtract(assignment.range(), served).isEmpty();
    }

    private void await(BooleanSupplier condition) {
        long deadlineMs = timers.clock().nowMs() + TIMEOUT_MS;
        while (!condition.getAsBoolean()) {
            assertThat(timers.clock().nowMs())
                    .as("timeout, table %s", daemons.table())
                    .isLessThan(deadlineMs);
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }
}
