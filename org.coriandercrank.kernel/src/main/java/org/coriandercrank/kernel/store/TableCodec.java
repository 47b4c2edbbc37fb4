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
 * Encodes and decodes assignment tables for the store. Stateless and thread safe.
 *
 * <p>Members are listed once, and ranges refer to them by index. The end of a range is omitted if the range extends to
 * the start of the next range or, for the last range, to the end of the hash space. This keeps a table of 6,500 ranges
 * well below the 1 MB limit of the store.
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
                    ? predecessor(table.assignments().get(i + 1).range().first())
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

    /** @throws CrankException with {@link ResultCode#STORE_MALFORMED} if the bytes are not a valid table */
    public static AssignmentTable decode(byte[] bytes) {
        StoredTable stored = JsonCodec.decode(bytes, StoredTable.class);
        try {
            List<MemberId> members = stored.members.stream().map(MemberId::new).toList();
            List<RangeAssignment> assignments = new ArrayList<>();
            for (int i = 0; i < stored.ranges.size(); i++) {
                KeyHash impliedLast = i + 1 < stored.ranges.size()
                        ? predecessor(KeyHash.parse(stored.ranges.get(i + 1).first))
                        : KeyHash.MAX;
                assignments.add(assignment(stored.ranges.get(i), impliedLast, members));
            }
            return new AssignmentTable(new ServiceName(stored.service), new Generation(stored.generation), assignments);
        } catch (IllegalArgumentException | NullPointerException | IndexOutOfBoundsException e) {
            throw new CrankException(ResultCode.STORE_MALFORMED, "assignment table: " + e.getMessage(), e);
        }
    }

    /**
     * Wraps around at the lowest hash. This happens only if a range other than the first one starts at the lowest hash;
     * such a table is not sorted and is rejected.
     */
    private static KeyHash predecessor(KeyHash first) {
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
        Integer existingIndex = indexes.get(member);
        if (existingIndex != null) {
            return existingIndex;
        }
        indexes.put(member, indexes.size());
        return indexes.size() - 1;
    }
}
