package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.message.ReleaseRequest;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.placement.PlacementInput;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.placement.TestFleet;

/**
 * A model of members with fake gates, of a network that loses, delays and duplicates messages, and of two planners, one
 * of which decides on outdated tables and members.
 *
 * <p>A gate counts as serving a range from the call of acquire until its release completes or its member is sealed.
 */
final class OwnershipModel {
    /**
     * A range in a fake gate.
     *
     * @param confirmed whether acquiring the range has completed
     */
    record Served(KeyRange range, Generation fence, boolean confirmed) {}

    private static final long RELEASE_GRACE_MS = 5;

    /**
     * A daemon: its state machine, the ranges that its fake gate serves and the index of the latest table it received.
     */
    private static final class Daemon {
        final MemberId id;
        final OwnershipState state;
        final List<Served> servedRanges = new ArrayList<>();
        int knownTableIndex;

        Daemon(MemberId id) {
            this.id = id;
            state = new OwnershipState(
                    id,
                    TestFleet.SERVICE,
                    /* minRetryDelayMs= */ 1,
                    /* maxRetryDelayMs= */ 4,
                    RELEASE_GRACE_MS,
                    /* maxRetainedRecords= */ 1_000);
        }
    }

    private final Random random;
    private final Map<MemberId, Member> members = new TreeMap<>();
    private final Map<MemberId, Daemon> daemons = new TreeMap<>();
    private final Set<MemberId> sealed = new HashSet<>();
    private final List<AssignmentTable> tables = new ArrayList<>(List.of(AssignmentTable.empty(TestFleet.SERVICE)));
    private final Map<MemberId, LoadReport> reports = new HashMap<>();
    private final List<Runnable> events = new ArrayList<>();
    private Configuration configuration = TestFleet.configuration();
    private boolean faultsEnabled = true;
    private long nowMs;

    OwnershipModel(long seed, int size) {
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            join();
        }
    }

    private void join() {
        Member member = TestFleet.member(members.size(), MemberState.ACTIVE);
        members.put(member.id(), member);
        daemons.put(member.id(), new Daemon(member.id()));
    }

    AssignmentTable newestTable() {
        return tables.get(tables.size() - 1);
    }

    void randomStep() {
        nowMs++;
        switch (random.nextInt(12)) {
            case 0, 1 -> planOnce(newestTable(), sealed);
            case 2 -> planOnce(tables.get(random.nextInt(tables.size())), randomSubset(sealed));
            case 3 -> changeMembers();
            case 4 -> collectReport(randomDaemon());
            case 5 -> configuration = random.nextInt(4) == 0 ? Configuration.EMPTY : TestFleet.configuration();
            default -> {
                Daemon daemon = daemons.get(randomDaemon());
                daemon.knownTableIndex = Math.max(daemon.knownTableIndex, random.nextInt(tables.size()));
                pollActions(daemon);
            }
        }
        for (int i = random.nextInt(3); i > 0 && !events.isEmpty(); i--) {
            events.remove(random.nextInt(events.size())).run();
        }
    }

    /** Stops all faults and membership changes, and runs until nothing is left to do. */
    void runUntilIdle() {
        faultsEnabled = false;
        configuration = TestFleet.configuration();
        for (int round = 0; round < 200; round++) {
            nowMs += 10;
            if (round == 100) {
                planOnce(newestTable(), sealed);
            }
            daemons.values().forEach(d -> {
                d.knownTableIndex = tables.size() - 1;
                pollActions(d);
            });
            while (!events.isEmpty()) {
                events.remove(random.nextInt(events.size())).run();
            }
        }
    }

    private Set<MemberId> randomSubset(Set<MemberId> all) {
        Set<MemberId> subset = new HashSet<>(all);
        subset.removeIf(m -> random.nextBoolean());
        return subset;
    }

    private MemberId randomDaemon() {
        List<MemberId> ids = List.copyOf(daemons.keySet());
        return ids.get(random.nextInt(ids.size()));
    }

    private void changeMembers() {
        int unsealedCount = members.size() - sealed.size();
        if (random.nextInt(3) == 0 && unsealedCount > 1) {
            MemberId sealedMember = randomDaemon();
            sealed.add(sealedMember);
            daemons.get(sealedMember).servedRanges.clear();
        } else if (unsealedCount < 6 && members.size() < 40) {
            join();
        }
    }

    private void collectReport(MemberId id) {
        Daemon daemon = daemons.get(id);
        if (sealed.contains(id)) {
            return;
        }
        List<RangeLoad> ranges = daemon.servedRanges.stream()
                .map(s -> new RangeLoad(s.range, s.fence, s.confirmed, 1, List.of()))
                .toList();
        LoadReport report = new LoadReport(id, TestFleet.SERVICE, daemon.state.appliedGeneration(), ranges);
        events.add(() -> reports.put(id, report));
    }

    /**
     * Runs a planner once: it decides on a table that may be outdated, and writes only if the store still has this
     * table.
     */
    private void planOnce(AssignmentTable knownTable, Set<MemberId> removed) {
        TablePlanner.Input planningInput =
                new TablePlanner.Input(configuration, members, removed, knownTable, reports, nowMs, 0, nowMs, 0);
        Optional<TablePlanner.Decision> decision = new TablePlanner(this::randomPlacement, 0).decide(planningInput);
        if (decision.isPresent() && knownTable.generation().equals(newestTable().generation())) {
            OwnershipChecks.assertValidTransition(newestTable(), decision.get(), removed);
            tables.add(decision.get().table());
        }
    }

    private List<PlacedRange> randomPlacement(PlacementInput input) {
        if (random.nextBoolean() && !input.table().assignments().isEmpty()) {
            WorkingTable table = new WorkingTable(input);
            WeightedPlacement.reassignOrphans(table, "test");
            return table.toPlacedRanges();
        }
        List<PlacedRange> placed = new ArrayList<>();
        KeyHash first = KeyHash.MIN;
        for (int i = 0; i < 5; i++) {
            KeyHash last = i == 4 ? KeyHash.MAX : new KeyHash(first.value() + (random.nextLong() >>> 3));
            MemberId owner = input.candidates()
                    .get(random.nextInt(input.candidates().size()))
                    .id();
            placed.add(new PlacedRange(new KeyRange(first, last), owner, "test"));
            first = i == 4 ? first : KeyRanges.next(last);
        }
        return placed;
    }

    private void pollActions(Daemon daemon) {
        daemon.state.applyTable(tables.get(daemon.knownTableIndex));
        for (OwnershipAction action : daemon.state.poll(nowMs, sealed::contains)) {
            if (action instanceof OwnershipAction.Acquire acquire) {
                startAcquire(daemon, acquire);
            } else if (action instanceof OwnershipAction.Release release) {
                events.add(() -> finishRelease(daemon, release));
            } else if (action instanceof OwnershipAction.RequestRelease requestRelease) {
                sendReleaseRequest(daemon, requestRelease);
            }
        }
    }

    private boolean isSealed(Daemon daemon) {
        return sealed.contains(daemon.id);
    }

    private void startAcquire(Daemon daemon, OwnershipAction.Acquire action) {
        if (!isSealed(daemon)) {
            replaceServed(daemon, action.range(), new Served(action.range(), action.fence(), false));
        }
        events.add(() -> {
            if (faultsEnabled && random.nextInt(5) == 0) {
                daemon.state.acquireFailed(action, nowMs);
                return;
            }
            if (!isSealed(daemon)) {
                replaceServed(daemon, action.range(), new Served(action.range(), action.fence(), true));
            }
            daemon.state.acquireCompleted(action);
        });
    }

    private void finishRelease(Daemon daemon, OwnershipAction.Release release) {
        if (faultsEnabled && random.nextInt(5) == 0) {
            daemon.state.releaseFailed(release, nowMs);
            return;
        }
        replaceServed(daemon, release.range(), null);
        daemon.state.releaseCompleted(release, TransferredRecords.NONE, nowMs);
    }

    private static void replaceServed(Daemon daemon, KeyRange range, Served served) {
        List<Served> next = new ArrayList<>();
        for (Served s : daemon.servedRanges) {
            KeyRanges.subtract(s.range, List.of(range))
                    .forEach(remaining -> next.add(new Served(remaining, s.fence, s.confirmed)));
        }
        if (served != null) {
            next.add(served);
        }
        daemon.servedRanges.clear();
        daemon.servedRanges.addAll(next);
    }

    private void sendReleaseRequest(Daemon daemon, OwnershipAction.RequestRelease requestRelease) {
        if (faultsEnabled && random.nextInt(4) == 0) {
            events.add(() -> daemon.state.releaseRequestFailed(requestRelease, nowMs));
        }
        int copies = faultsEnabled ? 1 + random.nextInt(2) : 1;
        ReleaseRequest request =
                new ReleaseRequest(daemon.id, TestFleet.SERVICE, requestRelease.range(), requestRelease.fence());
        for (int i = 0; i < copies; i++) {
            events.add(() -> {
                Daemon previous = daemons.get(requestRelease.previousOwner());
                var answer = previous.state.handleReleaseRequest(request, nowMs);
                events.add(() -> {
                    if (answer.isPresent() && !(faultsEnabled && random.nextInt(4) == 0)) {
                        daemon.state.releaseRequestAnswered(requestRelease, answer.get(), nowMs);
                    } else {
                        daemon.state.releaseRequestFailed(requestRelease, nowMs);
                    }
                });
            });
        }
    }

    /** Describes the hashes that are served twice, by two members or by the same member. */
    List<String> conflicts() {
        List<String> conflicts = new ArrayList<>();
        List<Map.Entry<MemberId, Served>> all = new ArrayList<>();
        daemons.forEach((id, d) -> d.servedRanges.forEach(s -> all.add(Map.entry(id, s))));
        for (int i = 0; i < all.size(); i++) {
            for (int j = i + 1; j < all.size(); j++) {
                if (all.get(i).getValue().range.overlaps(all.get(j).getValue().range)) {
                    conflicts.add(all.get(i) + " and " + all.get(j));
                }
            }
        }
        return conflicts;
    }

    /** Describes the assigned ranges that their owner does not serve completely. */
    List<String> unserved() {
        List<String> unserved = new ArrayList<>();
        for (RangeAssignment assignment : newestTable().assignments()) {
            List<KeyRange> served = daemons.get(assignment.owner()).servedRanges.stream()
                    .filter(Served::confirmed)
                    .map(Served::range)
                    .toList();
            if (!KeyRanges.subtract(assignment.range(), served).isEmpty()) {
                unserved.add(assignment.toString());
            }
        }
        return unserved;
    }
}
