package org.coriandercrank.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.store.TableCodec;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against lookups that return a wrong owner, and against stored tables that lose information or exceed the size
 * limit of the store.
 */
class AssignmentTableTest {
    private static final ServiceName SERVICE = new ServiceName("counter-desk");
    private static final int MAX_STORED_BYTES = 400_000;

    /** A table of ranges between random bounds. Some ranges are omitted, some contain a single hash. */
    private static AssignmentTable randomTable(Random random, int bounds, int members) {
        List<KeyHash> sorted = LongStream.concat(
                        LongStream.of(0, -1), LongStream.range(0, bounds).map(i -> random.nextLong()))
                .distinct()
                .mapToObj(KeyHash::new)
                .sorted()
                .toList();
        List<RangeAssignment> assignments = new ArrayList<>();
        for (int i = 0; i + 1 < sorted.size(); i++) {
            long last = random.nextInt(8) == 0
                    ? sorted.get(i).value()
                    : sorted.get(i + 1).value() - 1;
            if (random.nextInt(8) != 0) {
                assignments.add(randomAssignment(random, new KeyRange(sorted.get(i), new KeyHash(last)), members));
            }
        }
        return new AssignmentTable(SERVICE, new Generation(1_000_000), assignments);
    }

    private static RangeAssignment randomAssignment(Random random, KeyRange range, int members) {
        MemberId owner = member(random.nextInt(members));
        List<MemberId> previous = new ArrayList<>();
        for (int i = random.nextInt(3); i > 0; i--) {
            MemberId other = member(members + random.nextInt(members));
            if (!previous.contains(other)) {
                previous.add(other);
            }
        }
        return new RangeAssignment(range, owner, new Generation(1 + random.nextInt(1_000_000)), previous);
    }

    private static MemberId member(int number) {
        return new MemberId(String.format("host-%04d-%016x", number, number * 0x9e3779b97f4a7c15L));
    }

    @Property(tries = 200)
    void findAgreesWithALinearScan(@ForAll long seed, @ForAll @IntRange(max = 60) int bounds) {
        Random random = new Random(seed);
        AssignmentTable table = randomTable(random, bounds, 5);
        List<KeyHash> hashes = new ArrayList<>(List.of(KeyHash.MIN, KeyHash.MAX, new KeyHash(random.nextLong())));
        for (RangeAssignment assignment : table.assignments()) {
            long first = assignment.range().first().value();
            long last = assignment.range().last().value();
            LongStream.of(first - 1, first, last, last + 1)
                    .mapToObj(KeyHash::new)
                    .forEach(hashes::add);
        }
        for (KeyHash hash : hashes) {
            Optional<RangeAssignment> expected = table.assignments().stream()
                    .filter(a -> Long.compareUnsigned(a.range().first().value(), hash.value()) <= 0
                            && Long.compareUnsigned(
                                            hash.value(), a.range().last().value())
                                    <= 0)
                    .findFirst();
            assertThat(table.find(hash)).as("hash " + hash).isEqualTo(expected);
        }
    }

    @Property(tries = 200)
    void decodedTableEqualsTheEncodedOne(@ForAll long seed, @ForAll @IntRange(max = 60) int bounds) {
        AssignmentTable table = randomTable(new Random(seed), bounds, 5);
        assertThat(TableCodec.decode(TableCodec.encode(table))).isEqualTo(table);
    }

    /** The target is 810 daemons with 8 ranges each. The store accepts objects of up to 1 MB. */
    @Test
    void tableOfTheTargetSizeFitsTheStore() {
        List<RangeAssignment> assignments = new ArrayList<>();
        long width = Long.divideUnsigned(-1, 6_500);
        for (int i = 0; i < 6_500; i++) {
            assignments.add(new RangeAssignment(
                    new KeyRange(new KeyHash(i * width), new KeyHash((i + 1) * width - 1)),
                    member(i % 810),
                    new Generation(1_000_000 + i),
                    List.of()));
        }
        byte[] bytes = TableCodec.encode(new AssignmentTable(SERVICE, new Generation(2_000_000), assignments));
        System.out.println("table of 6,500 ranges and 810 members: " + bytes.length + " bytes");
        assertThat(bytes).hasSizeLessThan(MAX_STORED_BYTES);
        assertThat(TableCodec.decode(bytes).assignments()).isEqualTo(assignments);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "{}",
                "[]",
                "{\"service\":\"s\",\"generation\":1,\"members\":[],\"ranges\":[null]}",
                "{\"service\":\"s\",\"generation\":1,\"members\":[],\"ranges\":[{\"first\":\"0\",\"last\":\"1\"}]}",
                "{\"service\":\"s\",\"generation\":1,\"members\":[\"m\"],"
                        + "\"ranges\":[{\"first\":\"2\",\"last\":\"1\",\"owner\":0,\"fence\":1}]}",
                "{\"service\":\"s\",\"generation\":1,\"members\":[\"m\"],"
                        + "\"ranges\":[{\"first\":\"0\",\"last\":\"1\",\"owner\":0,\"fence\":2}]}",
                "{\"service\":\"s\",\"generation\":1,\"members\":[\"m\"],"
                        + "\"ranges\":[{\"first\":\"5\",\"owner\":0,\"fence\":1},{\"first\":\"0\",\"owner\":0,\"fence\":1}]}",
                "{\"service\":\"s\",\"generation\":1,\"members\":[\"m\"]," + "\"ranges\":[{\"owner\":0,\"fence\":1}]}",
                "{\"service\":\"s\",\"generation\":1,\"members\":[\"m\"],"
                        + "\"ranges\":[{\"first\":\"x\",\"last\":\"1\",\"owner\":0,\"fence\":1}]}"
            })
    void malformedTableIsRejected(String stored) {
        assertThatThrownBy(() -> TableCodec.decode(stored.getBytes(StandardCharsets.UTF_8)))
                .isInstanceOfSatisfying(
                        CrankException.class, e -> assertThat(e.code()).isEqualTo(ResultCode.STORE_MALFORMED));
    }

    @ParameterizedTest
    @CsvSource({
        "0, ffffffffffffffff, 1",
        "0, 7fffffffffffffff, 0.5",
        "8000000000000000, ffffffffffffffff, 0.5",
        "4000000000000000, bfffffffffffffff, 0.5",
        "0, 0, 5.421010862427522e-20",
        "ffffffffffffffff, ffffffffffffffff, 5.421010862427522e-20"
    })
    void shareIsTheFractionOfTheHashSpace(String first, String last, double share) {
        KeyRange range = new KeyRange(KeyHash.parse(first), KeyHash.parse(last));
        assertThat(range.share()).isCloseTo(share, within(share * 1e-12));
    }
}
