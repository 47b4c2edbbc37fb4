package org.coriandercrank.daemon.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coriandercrank.daemon.ServerIncarnation;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.ReleaseRequest;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.RangeAssignment;

/**
 * What all servers hold and have held, by key, and the checks of it. The hash space has {@link #COUNT} keys, distinguished
 * by the leading bits of their hashes. Not thread safe.
 */
final class HeldKeys {
    /** Number of leading bits that distinguish keys. */
    static final int BITS = 6;

    static final int COUNT = 1 << BITS;

    /** Name of the rule that no table, also a void one, gives out a fence of a key to a second owner. */
    static final String FENCE_TWICE = "FENCE_TWICE";

    private static final int SHIFT = Long.SIZE - BITS;

    private final Trace trace;
    private final List<SimulatedServer> servers = new ArrayList<>();

    /** The newest fence under which each server has held a key. */
    private final List<Map<ServerIncarnation, Long>> newestFences = new ArrayList<>();

    /** The owner to whom a table, also a void one, assigned a key under a fence. */
    private final List<Map<Generation, MemberId>> assignedOwners = new ArrayList<>();

    /** The same for the valid tables alone. */
    private final List<Map<Generation, MemberId>> validOwners = new ArrayList<>();

    /** The valid tables: those that were written in the era of their generation. All others are void. */
    private final Map<Generation, AssignmentTable> validTables = new HashMap<>();

    /** The members to whom a valid table of the same generation gave a fence, of any key. */
    private final Map<Generation, Set<MemberId>> receiversOfFence = new HashMap<>();

    HeldKeys(Trace trace) {
        this.trace = trace;
        for (int key = 0; key < COUNT; key++) {
            newestFences.add(new HashMap<>());
            assignedOwners.add(new HashMap<>());
            validOwners.add(new HashMap<>());
        }
    }

    static int firstKey(KeyRange range) {
        return (int) (range.first().value() >>> SHIFT);
    }

    static int lastKey(KeyRange range) {
        return (int) (range.last().value() >>> SHIFT);
    }

    static KeyRange range(int firstKey, int lastKey) {
        return new KeyRange(
                new KeyHash((long) firstKey << SHIFT), new KeyHash(((long) lastKey << SHIFT) | (-1L >>> BITS)));
    }

    void add(SimulatedServer server) {
        servers.add(server);
    }

    /** Checks that a server may take a key that it does not hold. */
    void taken(SimulatedServer taker, int key, long fence) {
        for (SimulatedServer other : servers) {
            if (other != taker && other.holds(key)) {
                trace.violation(
                        "TWO_OWNERS",
                        "key " + key + ": " + taker + " takes it under fence " + text(fence) + " while " + other
                                + " holds it under " + text(other.fence(key)));
            }
        }
        newestFences.get(key).forEach((other, otherFence) -> {
            if (!other.equals(taker.incarnation()) && otherFence >= fence) {
                trace.violation(
                        "FENCE",
                        "key " + key + ": " + taker + " takes it under fence " + text(fence) + ", " + other.id() + "-"
                                + other.bornMs() + " had it under " + text(otherFence));
            }
        });
        held(taker, key, fence);
    }

    /**
     * Notes that a server holds a key under a fence, and checks that a table that was written in its own era has given
     * the fence to a member of this server.
     */
    void held(SimulatedServer server, int key, long fence) {
        MemberId owner = validOwners.get(key).get(new Generation(fence));
        if (owner == null || !owner.value().contains("-" + server.incarnation().id() + "-")) {
            trace.violation(
                    "FENCE_NOT_GIVEN",
                    "key " + key + ": " + server + " holds it under fence " + text(fence) + " of " + owner);
        }
        newestFences.get(key).merge(server.incarnation(), fence, Math::max);
    }

    /**
     * Checks that a table gives out no fence a second time for a key with another owner. That nobody acts on a void table
     * is checked at the servers, at the messages of the daemons and at the valid tables that follow.
     *
     * @param era era of the store in which the table is written; a later one than that of its generation makes it void
     */
    void tableWritten(AssignmentTable table, Era era) {
        boolean valid = table.generation().era().equals(era);
        trace.add(() ->
                (valid ? "TABLE " : "VOID TABLE ") + text(table.generation().value()) + " " + describe(table));
        for (RangeAssignment assignment : table.assignments()) {
            int first = firstKey(assignment.range());
            for (int key = first; key <= lastKey(assignment.range()); key++) {
                MemberId earlier = assignedOwners.get(key).putIfAbsent(assignment.fence(), assignment.owner());
                if (earlier != null && !earlier.equals(assignment.owner())) {
                    trace.violation(
                            FENCE_TWICE,
                            "key " + key + ": table "
                                    + text(table.generation().value()) + " gives fence "
                                    + text(assignment.fence().value()) + " to " + assignment.owner() + ", earlier to "
                                    + earlier);
                    break;
                }
            }
        }
        if (valid) {
            validTableWritten(table);
        }
    }

    /**
     * Checks that a valid table gives no fence of a key to a second owner, and has earlier fences only as a valid table
     * gave them to the same owner. A range that is merged into another of its owner gets the fence of that.
     */
    private void validTableWritten(AssignmentTable table) {
        validTables.keySet().stream()
                .filter(earlier -> !table.generation().isNewerThan(earlier))
                .findFirst()
                .ifPresent(earlier -> trace.violation(
                        "GENERATION",
                        "table " + text(table.generation().value()) + " is written after " + text(earlier.value())));
        validTables.putIfAbsent(table.generation(), table);
        for (RangeAssignment assignment : table.assignments()) {
            Generation fence = assignment.fence();
            MemberId owner = assignment.owner();
            Set<MemberId> receivers = receiversOfFence.computeIfAbsent(fence, f -> new HashSet<>());
            if (fence.equals(table.generation())) {
                receivers.add(owner);
            } else if (!receivers.contains(owner)) {
                fenceNotGiven(table, assignment, "nobody");
            }
            for (int key = firstKey(assignment.range()); key <= lastKey(assignment.range()); key++) {
                MemberId earlier = validOwners.get(key).putIfAbsent(fence, owner);
                if (earlier != null && !earlier.equals(owner)) {
                    fenceNotGiven(table, assignment, earlier.value());
                }
            }
        }
    }

    private void fenceNotGiven(AssignmentTable table, RangeAssignment assignment, String receiver) {
        trace.violation(
                "FENCE_NOT_GIVEN",
                "table " + text(table.generation().value()) + " has key " + firstKey(assignment.range())
                        + " under fence " + text(assignment.fence().value()) + " of " + assignment.owner()
                        + ", given to " + receiver);
    }

    /** Checks that a daemon asks for the release of a range only if a valid table gives it the range under the fence. */
    void releaseRequested(ReleaseRequest request) {
        for (int key = firstKey(request.range()); key <= lastKey(request.range()); key++) {
            MemberId owner = validOwners.get(key).get(request.generation());
            if (!request.requester().equals(owner)) {
                trace.violation(
                        "VOID_TABLE",
                        "key " + key + ": " + request.requester() + " requests it under fence "
                                + text(request.generation().value()) + " of " + owner);
                return;
            }
        }
    }

    /** Checks that a daemon applies only valid tables. */
    void tableApplied(MemberId member, Generation generation) {
        if (!generation.equals(Generation.NONE) && !validTables.containsKey(generation)) {
            trace.violation("VOID_TABLE", member + " applied table " + text(generation.value()));
        }
    }

    /** Checks that a planner sends only valid tables to the members that get ranges. */
    void tablePushed(MemberId planner, AssignmentTable table) {
        if (!table.equals(validTables.get(table.generation()))) {
            trace.violation(
                    "VOID_TABLE",
                    planner + " sends table " + text(table.generation().value()));
        }
    }

    boolean allHeld() {
        for (int key = 0; key < COUNT; key++) {
            if (!isHeld(key)) {
                return false;
            }
        }
        return true;
    }

    List<Integer> unheld() {
        List<Integer> result = new ArrayList<>();
        for (int key = 0; key < COUNT; key++) {
            if (!isHeld(key)) {
                result.add(key);
            }
        }
        return result;
    }

    private boolean isHeld(int key) {
        return servers.stream().anyMatch(server -> server.holds(key));
    }

    /** Returns a fence as era and number within the era. */
    static String text(long fence) {
        Generation generation = new Generation(fence);
        return generation.era().value() == 0 ? Long.toString(fence) : generation.era() + "/" + (fence & 0xffffffffL);
    }

    private static String describe(AssignmentTable table) {
        StringBuilder text = new StringBuilder();
        for (RangeAssignment assignment : table.assignments()) {
            text.append(firstKey(assignment.range()))
                    .append('-')
                    .append(lastKey(assignment.range()))
                    .append(':')
                    .append(assignment.owner())
                    .append('@')
                    .append(text(assignment.fence().value()));
            if (!assignment.previousOwners().isEmpty()) {
                text.append(" after ").append(assignment.previousOwners());
            }
            text.append("; ");
        }
        return text.toString();
    }
}
