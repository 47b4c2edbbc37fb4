package org.coriandercrank.daemon.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs many schedules, by hand: {@code OwnershipTrial MIX FIRST_SEED COUNT THREADS [RULE]} prints for each rule in how many
 * runs it was broken and the first seeds, and the timeline of the first run that broke the given rule; {@code OwnershipTrial
 * MIX SEED} prints the timeline of one run. A seed repeats its run in each process. Stateless.
 */
public final class OwnershipTrial {
    private static final int SHOWN_SEEDS = 12;
    private static final int RULE_ARGUMENT = 4;

    private OwnershipTrial() {}

    public static void main(String[] args) throws Exception {
        Trace.silenceProduct();
        FaultMix mix = FaultMix.valueOf(args[0]);
        long first = Long.parseLong(args[1]);
        if (args.length == 2) {
            printTimeline(mix, first);
            return;
        }
        long startNanos = System.nanoTime();
        Map<String, List<Long>> seedsByRule =
                seedsByRule(mix, first, Integer.parseInt(args[2]), Integer.parseInt(args[3]));
        System.out.printf(
                "%s seeds %d + %s, %d s%n", mix, first, args[2], (System.nanoTime() - startNanos) / 1_000_000_000);
        seedsByRule.forEach((rule, seeds) -> System.out.printf(
                "  %s %d first %s%n", rule, seeds.size(), seeds.subList(0, Math.min(SHOWN_SEEDS, seeds.size()))));
        if (args.length > RULE_ARGUMENT && seedsByRule.containsKey(args[RULE_ARGUMENT])) {
            printTimeline(mix, seedsByRule.get(args[RULE_ARGUMENT]).get(0));
        }
    }

    private static void printTimeline(FaultMix mix, long seed) {
        OwnershipSimulation simulation = new OwnershipSimulation(seed, mix, true);
        simulation.trace().captureProductLog();
        simulation.run();
        simulation.trace().lines().forEach(System.out::println);
    }

    /** Returns the seeds that broke each rule, in ascending order. */
    static Map<String, List<Long>> seedsByRule(FaultMix mix, long first, int count, int threads) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(threads);
        try {
            List<Callable<List<Trace.Violation>>> runs = new ArrayList<>();
            for (long seed = first; seed < first + count; seed++) {
                long runSeed = seed;
                runs.add(() -> new OwnershipSimulation(runSeed, mix, false).run());
            }
            Map<String, List<Long>> seedsByRule = new TreeMap<>();
            long seed = first;
            for (Future<List<Trace.Violation>> run : executor.invokeAll(runs)) {
                long runSeed = seed++;
                run.get().stream()
                        .map(Trace.Violation::rule)
                        .distinct()
                        .forEach(rule -> seedsByRule
                                .computeIfAbsent(rule, r -> new ArrayList<>())
                                .add(runSeed));
            }
            return seedsByRule;
        } finally {
            executor.shutdown();
        }
    }
}
