package org.coriandercrank.load.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.settings.SettingsLoader;
import org.coriandercrank.load.CallRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against workloads that a seed does not reproduce, and against scenarios that lose load or mix up operations.
 */
class LoadPlanTest {
    private static final int HOT_KEYS = 3;
    private static final int DRAWN_KEYS = 4_000;

    private static LoadPlan plan(long seed) {
        return new LoadPlan(
                "counter-desk",
                /* keyed= */ true,
                /* ratePerSecond= */ 100,
                /* durationMs= */ 1_000,
                /* keys= */ 1_000,
                /* zipfExponent= */ 1.2,
                HOT_KEYS,
                /* hotChangeMs= */ 1_000,
                /* writePercent= */ 20,
                /* bodyBytes= */ 0,
                /* deadlineMs= */ 500,
                /* maxRetries= */ 0,
                seed);
    }

    private static List<String> drawKeys(LoadPlan plan) {
        KeyChooser chooser = new KeyChooser(plan);
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            keys.add(chooser.nextKey(i * 30L));
        }
        return keys;
    }

    @Test
    void sameSeedGivesTheSameKeys() {
        assertThat(drawKeys(plan(5))).isEqualTo(drawKeys(plan(5))).isNotEqualTo(drawKeys(plan(6)));
    }

    @Test
    void mostFrequentKeyChangesOnlyWithThePeriod() {
        KeyChooser chooser = new KeyChooser(plan(5));
        List<String> mostFrequentKeys = new ArrayList<>();
        for (long startMs : new long[] {0, 500, 1_000, 2_000}) {
            mostFrequentKeys.add(mostFrequentKey(chooser, startMs));
        }
        assertThat(mostFrequentKeys.get(0)).isEqualTo(mostFrequentKeys.get(1));
        assertThat(List.of(mostFrequentKeys.get(1), mostFrequentKeys.get(2), mostFrequentKeys.get(3)))
                .doesNotHaveDuplicates();
    }

    private static String mostFrequentKey(KeyChooser chooser, long elapsedMs) {
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < DRAWN_KEYS; i++) {
            keys.add(chooser.nextKey(elapsedMs));
        }
        return keys.stream()
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()))
                .entrySet()
                .stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    @ParameterizedTest
    @CsvSource({"authority, counter-desk cashbook workbench", "tincturia, cardfront mixledger shadebook"})
    void scenarioDividesTheRateAmongItsServices(String scenario, String services) {
        List<LoadPlan> plans = settings("--scenario=" + scenario, "--rate=1000").plans();

        assertThat(plans).extracting(LoadPlan::service).containsExactly(services.split(" "));
        assertThat(plans).extracting(LoadPlan::keyed).containsExactly(true, false, false);
        assertThat(plans).extracting(LoadPlan::seed).doesNotHaveDuplicates();
        assertThat(plans.stream().mapToInt(LoadPlan::ratePerSecond).sum()).isEqualTo(1_000);
    }

    @Test
    void unknownScenarioIsReportedWithOtherErrors() {
        assertThatThrownBy(() -> settings("--scenario=bakery", "--rate=0"))
                .isInstanceOf(CrankException.class)
                .hasMessageContaining("--scenario: must be authority or tincturia")
                .hasMessageContaining("--rate: ");
    }

    private static LoadSettings settings(String... flags) {
        List<String> arguments = new ArrayList<>(List.of(flags));
        arguments.add("--targets=127.0.0.1:1");
        return SettingsLoader.load(new LoadSettings(), arguments, Map.of());
    }

    /** With equal operation numbers the checker would take writes to two services for one operation executed twice. */
    @Test
    void mergeKeepsOperationNumbersUnique() {
        PlanResult firstResult = new PlanResult("one", 20, List.of(call(0, "a"), call(2, "b"), call(2, "b-r2")));
        PlanResult secondResult = new PlanResult("two", 10, List.of(call(0, "c"), call(2, "d")));
        PlanResult total = PlanResult.merge(List.of(firstResult, secondResult));

        assertThat(total.startedNanos()).isEqualTo(10);
        assertThat(total.calls()).extracting(CallRecord::operation).containsExactly(0L, 2L, 2L, 3L, 5L);
    }

    private static CallRecord call(long operation, String requestId) {
        return new CallRecord(operation, requestId, "s", "", "PUT", false, 0, 1, 0, Optional.of(Outcome.RUN), false);
    }
}
