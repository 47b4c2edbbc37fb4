package org.coriandercrank.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.time.SystemTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against ranges that stay in an evacuated failure domain, that two members serve during the move, or that do not
 * return. Two daemons in each of two failure domains, with fakes of all other components.
 */
final class EvacuationPlacementTest {
    private static final long TIMEOUT_MS = 10_000;
    private static final FailureDomain EVACUATED = new FailureDomain("evacuated");
    private static final FailureDomain OTHER = new FailureDomain("other");
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
    private final Map<MemberId, Planner> planners = new HashMap<>();
    private final List<RangeOwnership> ownerships = new ArrayList<>();
    private final List<MemberId> evacuated = new ArrayList<>();
    private final List<MemberId> others = new ArrayList<>();

    @BeforeEach
    void start() {
        daemons.write(ObjectNames.CONFIGURATION, JsonCodec.encode(TestFleet.configuration()));
        for (int i = 0; i < 4; i++) {
            startDaemon(i, i < 2 ? EVACUATED : OTHER);
        }
        await(() -> isServed() && servedBy(evacuated));
    }

    private void startDaemon(int number, FailureDomain domain) {
        Member member = TestFleet.member(number, MemberState.ACTIVE, domain);
        (domain.equals(EVACUATED) ? evacuated : others).add(member.id());
        daemons.write(member);
        PlacementDependencies dependencies = daemons.dependencies(member.id(), timers);
        RangeOwnership ownership = new RangeOwnership(
                dependencies, () -> Long.MAX_VALUE / 2, daemons.gates.get(member.id()), RangeOwnershipOptions.DEFAULTS);
        Planner planner = new Planner(dependencies, PluginRegistry.load(), PLANNER_OPTIONS);
        ownership.start();
        planner.start();
        planners.put(member.id(), planner);
        ownerships.add(ownership);
    }

    @AfterEach
    void stop() {
        planners.values().forEach(Planner::close);
        ownerships.forEach(RangeOwnership::close);
        timers.close();
    }

    private void evacuate(FailureDomain domain) {
        daemons.write(ObjectNames.evacuation(domain), "{}".getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void rangesLeaveTheDomainAndReturn() {
        evacuate(EVACUATED);
        await(() -> isServed() && servesNothing(evacuated));
        assertThat(evacuated).allMatch(member -> daemons.table().ownedBy(member).isEmpty());

        daemons.store.delete(ObjectNames.evacuation(EVACUATED), Revision.NONE).join();
        await(() -> isServed() && servedBy(evacuated));
    }

    /** The planner is lost at the moment of the entry; the next one has only the table and the entries. */
    @Test
    void nextPlannerContinuesTheMove() {
        await(() -> planners.values().stream().anyMatch(Planner::holdsRole));
        MemberId lost = planners.entrySet().stream()
                .filter(entry -> entry.getValue().holdsRole())
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
        planners.remove(lost).close();
        evacuate(EVACUATED);
        await(() -> isServed() && servesNothing(evacuated));
    }

    /** A move that has no target must not withdraw the ranges. */
    @Test
    void rangesStayIfAllDomainsAreEvacuated() throws InterruptedException {
        evacuate(EVACUATED);
        evacuate(OTHER);
        Thread.sleep(500);
        assertThat(isServed()).isTrue();
    }

    private boolean servesNothing(List<MemberId> members) {
        return members.stream()
                .allMatch(member -> daemons.gates.get(member).rangeLoads().isEmpty());
    }

    private boolean servedBy(List<MemberId> members) {
        return members.stream()
                .noneMatch(member -> daemons.gates.get(member).rangeLoads().isEmpty());
    }

    private boolean isServed() {
        List<KeyRange> served = servedRanges();
        return KeyRanges.subtract(KeyRange.ALL, served).isEmpty();
    }

    private List<KeyRange> servedRanges() {
        return daemons.gates.values().stream()
                .flatMap(gate -> gate.rangeLoads().stream())
                .map(RangeLoad::range)
                .toList();
    }

    private void await(BooleanSupplier condition) {
        long deadlineMs = System.currentTimeMillis() + TIMEOUT_MS;
        while (!condition.getAsBoolean()) {
            assertSingleOwners();
            assertThat(System.currentTimeMillis()).as("time").isLessThan(deadlineMs);
            Thread.onSpinWait();
        }
    }

    /**
     * Each gate is read on its own, so a range that moves between two reads may seem to have two owners; a real second
     * owner is seen again at once.
     */
    private void assertSingleOwners() {
        for (int attempt = 0; attempt < 100; attempt++) {
            if (!overlaps(servedRanges())) {
                return;
            }
        }
        assertThat(overlaps(servedRanges())).as("a key has two owners").isFalse();
    }

    private static boolean overlaps(List<KeyRange> ranges) {
        for (int i = 0; i < ranges.size(); i++) {
            for (int j = i + 1; j < ranges.size(); j++) {
                if (ranges.get(i).overlaps(ranges.get(j))) {
                    return true;
                }
            }
        }
        return false;
    }
}
