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
 * Members with fake gates, a network that loses, delays and duplicates, and two planners that act on old knowledge.
 *
 * <p>A gate counts as serving from the call of acquire until its release completes or its member is sealed.
 */
final class OwnershipModel {
    record Served(KeyRange range, Generation fence, boolean confirmed) {}

    private static final long LINGER_MS = 5;

    /** A daemon: its state machine, fake gate and the table that it knows. */
    private static final class Daemon {
        final MemberId id;
        final OwnershipState state;
        final List<Served> gate = new ArrayList<>();
        int knownTable;

        Daemon(MemberId id) {
            this.id = id;
            state = new OwnershipState(id, TestFleet.SERVICE, 1, 4, LINGER_MS, 1_000);
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
    private boolean faults = true;
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

    AssignmentTable newest() {
        return tables.get(tables.size() - 1);
    }

    void randomStep() {
        nowMs++;
        switch (random.nextInt(12)) {
            case 0, 1 -> plan(newest(), sealed);
            case 2 -> plan(tables.get(random.nextInt(tables.size())), knownPart(sealed));
            case 3 -> changeMembers();
            case 4 -> collectReport(pickDaemon());
            case 5 -> configuration = random.nextInt(4) == 0 ? Configuration.EMPTY : TestFleet.configuration();
            default -> {
                Daemon daemon = daemons.get(pickDaemon());
                daemon.knownTable = Math.max(daemon.knownTable, random.nextInt(tables.size()));
                poll(daemon);
            }
        }
        for (int i = random.nextInt(3); i > 0 && !events.isEmpty(); i--) {
            events.remove(random.nextInt(events.size())).run();
        }
    }

    /** Ends all faults and changes, and runs until nothing is left to do. */
    void settle() {
        faults = false;
        configuration = TestFleet.configuration();
        for (int round = 0; round < 200; round++) {
            nowMs += 10;
            if (round == 100) {
                plan(newest(), sealed);
            }
            daemons.values().forEach(d -> {
                d.knownTable = tables.size() - 1;
                poll(d);
            });
            while (!events.isEmpty()) {
                events.remove(random.nextInt(events.size())).run();
            }
        }
    }

    private Set<MemberId> knownPart(Set<MemberId> all) {
        Set<MemberId> known = new HashSet<>(all);
        known.removeIf(m -> random.nextBoolean());
        return known;
    }

    private MemberId pickDaemon() {
        List<MemberId> ids = List.copyOf(daemons.keySet());
        return ids.get(random.nextInt(ids.size()));
    }

    private void changeMembers() {
        int alive = members.size() - sealed.size();
        if (random.nextInt(3) == 0 && alive > 1) {
            MemberId lost = pickDaemon();
            sealed.add(lost);
            daemons.get(lost).gate.clear();
        } else if (alive < 6 && members.size() < 40) {
            join();
        }
    }

    private void collectReport(MemberId id) {
        Daemon daemon = daemons.get(id);
        if (sealed.contains(id)) {
            return;
        }
        List<RangeLoad> ranges = daemon.gate.stream()
                .map(s -> new RangeLoad(s.range, s.fence, s.confirmed, 1, List.of()))
                .toList();
        LoadReport report = new LoadReport(id, TestFleet.SERVICE, daemon.state.appliedGeneration(), ranges);
        events.add(() -> reports.put(id, report));
    }

    /** One planner: decides on a table that may be old, and writes only if the store still has that table. */
    private void plan(AssignmentTable known, Set<MemberId> gone) {
        TablePlanner.View view =
                new TablePlanner.View(configuration, members, gone, known, reports, nowMs, 0, nowMs, 0);
        Optional<TablePlanner.Decision> decision = new TablePlanner(this::randomPlacement, 0).decide(view);
        if (decision.isPresent() && known.generation().equals(newest().generation())) {
            OwnershipChecks.checkNext(newest(), decision.get(), gone);
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

    private void poll(Daemon daemon) {
        daemon.state.applyTable(tables.get(daemon.knownTable));
        for (OwnershipAction action : daemon.state.poll(nowMs, sealed::contains)) {
            if (action instanceof OwnershipAction.Acquire acquire) {
                startAcquire(daemon, acquire);
            } else if (action instanceof OwnershipAction.Release release) {
                events.add(() -> finishRelease(daemon, release));
            } else if (action instanceof OwnershipAction.RequestRelease ask) {
                ask(daemon, ask);
            }
        }
    }

    private boolean isDead(Daemon daemon) {
        return sealed.contains(daemon.id);
    }

    private void startAcquire(Daemon daemon, OwnershipAction.Acquire action) {
        if (!isDead(daemon)) {
            replace(daemon, action.range(), new Served(action.range(), action.fence(), false));
        }
        events.add(() -> {
            if (faults && random.nextInt(5) == 0) {
                daemon.state.acquireFailed(action, nowMs);
                return;
            }
            if (!isDead(daemon)) {
                replace(daemon, action.range(), new Served(action.range(), action.fence(), true));
            }
            daemon.state.acquireCompleted(action);
        });
    }

    private void finishRelease(Daemon daemon, OwnershipAction.Release release) {
        if (faults && random.nextInt(5) == 0) {
            daemon.state.releaseFailed(release, nowMs);
            return;
        }
        replace(daemon, release.range(), null);
        daemon.state.releaseCompleted(release, TransferredRecords.NONE, nowMs);
    }

    private static void replace(Daemon daemon, KeyRange range, Served served) {
        List<Served> next = new ArrayList<>();
        for (Served s : daemon.gate) {
            KeyRanges.subtract(s.range, List.of(range)).forEach(r -> next.add(new Served(r, s.fence, s.confirmed)));
        }
        if (served != null) {
            next.add(served);
        }
        daemon.gate.clear();
        daemon.gate.addAll(next);
    }

    private void ask(Daemon daemon, OwnershipAction.RequestRelease ask) {
        if (faults && random.nextInt(4) == 0) {
            events.add(() -> daemon.state.releaseRequestFailed(ask, nowMs));
        }
        int copies = faults ? 1 + random.nextInt(2) : 1;
        ReleaseRequest request = new ReleaseRequest(daemon.id, TestFleet.SERVICE, ask.range(), ask.fence());
        for (int i = 0; i < copies; i++) {
            events.add(() -> {
                Daemon previous = daemons.get(ask.previousOwner());
                var answer = previous.state.handleReleaseRequest(request, nowMs);
                events.add(() -> {
                    if (answer.isPresent() && !(faults && random.nextInt(4) == 0)) {
                        daemon.state.releaseRequestAnswered(ask, answer.get(), nowMs);
                    } else {
                        daemon.state.releaseRequestFailed(ask, nowMs);
                    }
                });
            });
        }
    }

    /** Ranges that two members serve, or one member twice; empty if there are none. */
    List<String> conflicts() {
        List<String> conflicts = new ArrayList<>();
        List<Map.Entry<MemberId, Served>> all = new ArrayList<>();
        daemons.forEach((id, d) -> d.gate.forEach(s -> all.add(Map.entry(id, s))));
        for (int i = 0; i < all.size(); i++) {
            for (int j = i + 1; j < all.size(); j++) {
                if (all.get(i).getValue().range.overlaps(all.get(j).getValue().range)) {
                    conflicts.add(all.get(i) + " and " + all.get(j));
                }
            }
        }
        return conflicts;
    }

    /** Assigned ranges that their owner does not serve although it could. */
    List<String> unserved() {
        List<String> unserved = new ArrayList<>();
        for (RangeAssignment a : newest().assignments()) {
            List<KeyRange> served = daemons.get(a.owner()).gate.stream()
                    .filter(Served::confirmed)
                    .map(Served::range)
                    .toList();
            if (!KeyRanges.subtract(a.range(), served).isEmpty()) {
                unserved.add(a.toString());
            }
        }
        return unserved;
    }
}
