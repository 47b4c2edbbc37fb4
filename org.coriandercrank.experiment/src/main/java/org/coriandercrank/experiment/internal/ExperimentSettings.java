package org.coriandercrank.experiment.internal;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.kernel.settings.Settings;
import org.coriandercrank.kernel.settings.ValidationErrors;
import org.kohsuke.args4j.Option;

/** Settings of {@code crank-experiment}. Not thread safe; read-only after loading. */
public final class ExperimentSettings implements Settings {
    private static final int MAX_DAEMONS = 240;
    private static final List<String> EXPERIMENTS = List.of("fleet", "placement", "overload");

    @Option(name = "--experiment", metaVar = "NAME", usage = "fleet, placement or overload")
    private String experiment = "fleet";

    @Option(name = "--sizes", metaVar = "N,...", usage = "numbers of daemons, measured one after the other")
    private String sizes = "3,12";

    @Option(name = "--settle-ms", metaVar = "MS", usage = "time between the start of the fleet and the samples")
    private long settleMs = 15_000;

    @Option(name = "--sample-ms", metaVar = "MS", usage = "time between the two samples of an idle fleet")
    private long sampleMs = 20_000;

    @Option(name = "--changes", metaVar = "N", usage = "number of configuration changes whose rollout is measured")
    private int changes = 5;

    @Option(name = "--policies", metaVar = "NAME,...", usage = "placement policies, measured one after the other")
    private String policies = "availability,low-churn,static,greedy";

    @Option(name = "--seeds", metaVar = "N,...", usage = "seeds of keys and arrivals")
    private String seeds = "1,2";

    @Option(name = "--rate", metaVar = "N", usage = "operations per second of the placement experiment")
    private int ratePerSecond = 1_600;

    @Option(name = "--duration-ms", metaVar = "MS", usage = "length of each load")
    private long durationMs = 45_000;

    @Option(name = "--keys", metaVar = "N", usage = "number of keys")
    private int keys = 20_000;

    @Option(name = "--zipf", metaVar = "X", usage = "exponent of the Zipf distribution of keys")
    private double zipfExponent = 1.0;

    @Option(name = "--hot-keys", metaVar = "N", usage = "size of the hot set that changes")
    private int hotKeys = 26;

    @Option(name = "--hot-change-ms", metaVar = "MS", usage = "time after which the hot set changes")
    private long hotChangeMs = 20_000;

    @Option(name = "--service-ms", metaVar = "MS", usage = "service time of the backend servers")
    private long serviceMs = 5;

    @Option(
            name = "--daemon-flags",
            metaVar = "FLAG=VALUE,...",
            usage = "flags of the daemons in the placement and overload experiments")
    private String daemonFlags = "--routing-log-lines-per-second=0";

    @Option(name = "--report", metaVar = "PATH", usage = "file for the results as JSON; empty: none")
    private String report = "";

    private final List<Integer> parsedSizes = new ArrayList<>();
    private final List<Long> parsedSeeds = new ArrayList<>();

    @Override
    public void validate(ValidationErrors errors) {
        for (String size : sizes.split(",")) {
            Integer parsed = errors.parse("--sizes", size, Integer::valueOf);
            if (parsed != null) {
                errors.requireRange("--sizes", parsed, 1, MAX_DAEMONS);
                parsedSizes.add(parsed);
            }
        }
        for (String seed : seeds.split(",")) {
            Long parsed = errors.parse("--seeds", seed, Long::valueOf);
            if (parsed != null) {
                parsedSeeds.add(parsed);
            }
        }
        if (!EXPERIMENTS.contains(experiment)) {
            errors.add("--experiment", "must be one of " + EXPERIMENTS);
        }
        if (!(zipfExponent >= 0 && zipfExponent <= 3)) {
            errors.add("--zipf", "must be between 0 and 3");
        }
        errors.requireRange("--rate", ratePerSecond, 1, 1_000_000);
        errors.requireRange("--duration-ms", durationMs, 1_000, 3_600_000);
        errors.requireRange("--keys", keys, 1, 10_000_000);
        errors.requireRange("--hot-keys", hotKeys, 0, keys);
        errors.requireRange("--hot-change-ms", hotChangeMs, 1, 3_600_000);
        errors.requireRange("--service-ms", serviceMs, 1, 60_000);
        errors.requireRange("--settle-ms", settleMs, 0, 600_000);
        errors.requireRange("--sample-ms", sampleMs, 100, 600_000);
        errors.requireRange("--changes", changes, 0, 1_000);
    }

    public String experiment() {
        return experiment;
    }

    public List<Integer> sizes() {
        return parsedSizes;
    }

    long settleMs() {
        return settleMs;
    }

    long sampleMs() {
        return sampleMs;
    }

    int changes() {
        return changes;
    }

    List<String> policies() {
        return List.of(policies.split(","));
    }

    List<Long> seeds() {
        return parsedSeeds;
    }

    int ratePerSecond() {
        return ratePerSecond;
    }

    long durationMs() {
        return durationMs;
    }

    int keys() {
        return keys;
    }

    double zipfExponent() {
        return zipfExponent;
    }

    int hotKeys() {
        return hotKeys;
    }

    long hotChangeMs() {
        return hotChangeMs;
    }

    long serviceMs() {
        return serviceMs;
    }

    List<String> daemonFlags() {
        return daemonFlags.isEmpty() ? List.of() : List.of(daemonFlags.split(","));
    }

    String report() {
        return report;
    }
}
