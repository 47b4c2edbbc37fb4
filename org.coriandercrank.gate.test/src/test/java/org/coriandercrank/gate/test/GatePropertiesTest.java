package org.coriandercrank.gate.test;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.statistics.Statistics;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.kernel.table.BackendInfo.Capability;

/**
 * Random interleavings of submit, retry, cancel, resolve, acquire, release, loss and return of the lease, failures and
 * ends of the backend server, and requests that become suspect or quarantined. Guards against double execution, execution
 * without a lease, range or slot, of a quarantined request or of two suspects at a time, a wrong NOT_RUN, and a release
 * that completes too early. jqwik prints the seed.
 */
class GatePropertiesTest {
    private static final int TRIES = 3_000;
    private static final GateOptions OPTIONS = GateOptions.DEFAULTS.withSlowStartMs(0);

    record Action(int type, int choice) {}

    @Property(tries = TRIES, edgeCases = EdgeCasesMode.NONE)
    void invariantsHoldWithAllCapabilities(@ForAll("actions") List<Action> actions) {
        run(GateFixture.ALL_CAPABILITIES, OPTIONS, actions);
    }

    @Property(tries = TRIES, edgeCases = EdgeCasesMode.NONE)
    void invariantsHoldWithoutCapabilities(@ForAll("actions") List<Action> actions) {
        run(Set.of(), OPTIONS, actions);
    }

    @Property(tries = TRIES, edgeCases = EdgeCasesMode.NONE)
    void invariantsHoldWithDeadlinesAndFencesOnly(@ForAll("actions") List<Action> actions) {
        run(Set.of(Capability.DEADLINE, Capability.FENCE), OPTIONS, actions);
    }

    /** Records are evicted constantly; keys are then protected by their stated age, request ids by the evicted ids. */
    @Property(tries = TRIES, edgeCases = EdgeCasesMode.NONE)
    void invariantsHoldWithFewRecords(@ForAll("actions") List<Action> actions) {
        run(GateFixture.ALL_CAPABILITIES, OPTIONS.withRecordLimits(600_000, 8, 100_000), actions);
    }

    private static void run(Set<Capability> capabilities, GateOptions options, List<Action> actions) {
        GateModel model = new GateModel(capabilities, options);
        for (Action action : actions) {
            model.perform(action.type(), action.choice());
        }
        model.verifyAllAnswered();
        Statistics.label("at least 5 executions")
                .collect(model.startedCallCount() >= 5)
                .coverage(c -> c.check(true).percentage(p -> p > 50));
    }

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Action> action = Combinators.combine(
                        Arbitraries.integers().between(0, 24).withoutEdgeCases(),
                        Arbitraries.integers().between(0, 719).withoutEdgeCases())
                .as(Action::new);
        return action.list().ofMinSize(40).ofMaxSize(150);
    }
}
