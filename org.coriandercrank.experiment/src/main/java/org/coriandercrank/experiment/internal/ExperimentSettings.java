package org.coriandercrank.experiment.internal;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.kernel.settings.Faults;
import org.coriandercrank.kernel.settings.Settings;
import org.kohsuke.args4j.Option;

/** Settings of {@code crank-experiment}. Not thread safe; read-only after loading. */
public final class ExperimentSettings implements Settings {
    private static final int MAX_DAEMONS = 240;

    @Option(name = "--sizes", metaVar = "N,...", usage = "numbers of daemons, measured one after the other")
    private String sizes = "3,12";

    @Option(name = "--settle-ms", metaVar = "MS", usage = "time between the start of the fleet and the samples")
    private long settleMs = 15_000;

    @Option(name = "--sample-ms", metaVar = "MS", usage = "time between the two samples of a fleet at rest")
    private long sampleMs = 20_000;

    @Option(name = "--changes", metaVar = "N", usage = "configuration changes whose spreading is measured")
    private int changes = 5;

    private final List<Integer> parsedSizes = new ArrayList<>();

    @Override
    public void check(Faults faults) {
        for (String size : sizes.split(",")) {
            Integer parsed = faults.parse("--sizes", size, Integer::valueOf);
            if (parsed != null) {
                faults.requireRange("--sizes", parsed, 1, MAX_DAEMONS);
                parsedSizes.add(parsed);
            }
        }
        faults.requireRange("--settle-ms", settleMs, 0, 600_000);
        faults.requireRange("--sample-ms", sampleMs, 100, 600_000);
        faults.requireRange("--changes", changes, 0, 1_000);
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
}
