package org.coriandercrank.kernel.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.RangeAssignment;

/**
 * Stored form of an assignment table: members are listed once and ranges refer to them by index, and the end of a range
 * is left out if the next range, or the end of the hash space, follows it without a gap. So 6,500 ranges stay well below
 * the 1 MB limit of the store. Stateless and thread safe.
 */
public final class TableCodec {
    private record StoredRange(String first, String last, int owner, long fence, List<Integer> previous) {}

    private record StoredTable(String service, long generation, List<String> members, List<StoredRange> ranges) {}

    private TableCodec() {}

    public static byte[] encode(AssignmentTable table) {
        Map<MemberId, Integer> indexes = new LinkedHashMap<>();
        List<StoredRange> ranges = new ArrayList<>();
        for (int i = 0; i < table.assignments().size(); i++) {
            RangeAssignment assignment = table.assignments().get(i);
            KeyHash last = assignment.range().last();
            KeyHash impliedLast = i + 1 < table.assignments().size()
                    ? endBefore(table.assignments().get(i + 1).range().first())
                    : KeyHash.MAX;
            List<Integer> previous = new ArrayList<>();
            for (MemberId member : assignment.previousOwners()) {
                previous.add(index(indexes, member));
            }
            ranges.add(new StoredRange(
                    Long.toHexString(assignment.range().first().value()),
                    last.equals(impliedLast) ? null : Long.toHexString(last.value()),
                    index(indexes, assignment.owner()),
                    assignment.fence().value(),
                    previous.isEmpty() ? null : previous));
        }
        List<String> members = indexes.keySet().stream().map(MemberId::value).toList();
        return JsonCodec.encode(
                new StoredTable(table.service().value(), table.generation().value(), members, ranges));
    }

    /** Fails with {@link ResultCode#STORE_MALFORMED} if the bytes are not a table. */
    public static AssignmentTable decode(byte[] bytes) {
        StoredTable stored = JsonCodec.decode(bytes, StoredTable.class);
        try {
            List<MemberId> members = stored.members.stream().map(MemberId::new).toList();
            List<RangeAssignment> assignments = new ArrayList<>();
            for (int i = 0; i < stored.ranges.size(); i++) {
                KeyHash impliedLast = i + 1 < stored.ranges.size()
                        ? endBefore(KeyHash.parse(stored.ranges.get(i + 1).first))
                        : KeyHash.MAX;
                assignments.add(assignment(stored.ranges.get(i), impliedLast, members));
            }
            return new AssignmentTable(new ServiceName(stored.service), new Generation(stored.generation), assignments);
        } catch (IllegalArgumentException | NullPointerException | IndexOutOfBoundsException e) {
            throw new CrankException(ResultCode.STORE_MALFORMED, "assignment table: " + e.getMessage(), e);
        }
    }

    /** Wraps around below the lowest hash; a table in which that matters is not sorted and is refused. */
    private static KeyHash endBefore(KeyHash first) {
        return new KeyHash(first.value() - 1);
    }

    private static RangeAssignment assignment(StoredRange range, KeyHash impliedLast, List<MemberId> members) {
        List<Integer> previous = range.previous == null ? List.of() : range.previous;
        return new RangeAssignment(
                new KeyRange(KeyHash.parse(range.first), range.last == null ? impliedLast : KeyHash.parse(range.last)),
                members.get(range.owner),
                new Generation(range.fence),
                previous.stream().map(members::get).toList());
    }

    private static int index(Map<MemberId, Integer> indexes, MemberId member) {
        Integer known = indexes.get(member);
        if (known != null) {
            return known;
        }
        indexes.put(member, indexes.size());
        return indexes.size() - 1;
    }
}
