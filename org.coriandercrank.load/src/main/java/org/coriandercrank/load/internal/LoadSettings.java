package org.coriandercrank.load.internal;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.settings.Settings;
import org.coriandercrank.kernel.settings.ValidationErrors;
import org.coriandercrank.load.internal.Scenario.ServiceShare;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.ExplicitBooleanOptionHandler;

/** Settings of {@code crank-load}. Not thread safe; read-only after loading. */
public final class LoadSettings implements Settings {
    private static final long MAX_DURATION_MS = 3_600_000;
    private static final long WARMUP_SEED_OFFSET = 1_000_003;

    @Option(
            name = "--targets",
            metaVar = "IP:PORT,...",
            usage = "addresses at which daemons accept requests of callers")
    private String targets;

    @Option(
            name = "--scenario",
            metaVar = "NAME",
            usage = "authority or tincturia; replaces --service, --keyed and --write-percent")
    private String scenario = "";

    @Option(name = "--service", metaVar = "NAME", usage = "name of the service")
    private String service = "counter-desk";

    @Option(name = "--keyed", usage = "whether requests carry a key", handler = ExplicitBooleanOptionHandler.class)
    private boolean keyed = true;

    @Option(
            name = "--direct",
            usage = "whether targets are backend servers without ownership checks instead of daemons",
            handler = ExplicitBooleanOptionHandler.class)
    private boolean direct;

    @Option(name = "--rate", metaVar = "N", usage = "operations per second")
    private int ratePerSecond = 500;

    @Option(name = "--duration-ms", metaVar = "MS", usage = "length of the schedule")
    private long durationMs = 10_000;

    @Option(name = "--warmup-ms", metaVar = "MS", usage = "length of a warm-up run that is not reported; 0: none")
    private long warmupMs = 0;

    @Option(name = "--keys", metaVar = "N", usage = "number of keys")
    private int keys = 10_000;

    @Option(name = "--zipf", metaVar = "X", usage = "exponent of the Zipf distribution of keys")
    private double zipfExponent = 1.0;

    @Option(name = "--hot-keys", metaVar = "N", usage = "size of the hot set that changes")
    private int hotKeys = 26;

    @Option(name = "--hot-change-ms", metaVar = "MS", usage = "time after which the hot set changes")
    private long hotChangeMs = 60_000;

    @Option(name = "--write-percent", metaVar = "PERCENT", usage = "share of PUT requests")
    private int writePercent = 20;

    @Option(name = "--body-bytes", metaVar = "N", usage = "additional bytes of the value of a PUT request")
    private int bodyBytes = 0;

    @Option(name = "--deadline-ms", metaVar = "MS", usage = "deadline of requests")
    private long deadlineMs = 2_000;

    @Option(name = "--max-repeats", metaVar = "N", usage = "largest number of retries of an operation without success")
    private int maxRetries = 0;

    @Option(name = "--seed", metaVar = "N", usage = "seed of keys and arrivals")
    private long seed = 1;

    @Option(name = "--ledgers", metaVar = "PATH,...", usage = "ledger files of the backend servers")
    private String ledgerFiles = "";

    @Option(name = "--report", metaVar = "PATH", usage = "path prefix of the report files; empty: none")
    private String reportPathPrefix = "";

    private final List<HostAddress> parsedTargets = new ArrayList<>();
    private Optional<Scenario> parsedScenario = Optional.empty();

    @Override
    public void validate(ValidationErrors errors) {
        if (targets == null || targets.isEmpty()) {
            errors.add("--targets", "is required");
        } else {
            for (String target : targets.split(",")) {
                parsedTargets.add(errors.parse("--targets", target, HostAddress::parse));
            }
        }
        if (!scenario.isEmpty()) {
            parsedScenario = Optional.ofNullable(errors.parse("--scenario", scenario, LoadSettings::parseScenario));
        }
        errors.requireRange("--rate", ratePerSecond, 1, 1_000_000);
        errors.requireRange("--duration-ms", durationMs, 1, MAX_DURATION_MS);
        errors.requireRange("--warmup-ms", warmupMs, 0, MAX_DURATION_MS);
        errors.requireRange("--keys", keys, 1, 10_000_000);
        errors.requireRange("--hot-keys", hotKeys, 0, keys);
        errors.requireRange("--hot-change-ms", hotChangeMs, 1, MAX_DURATION_MS);
        errors.requireRange("--write-percent", writePercent, 0, 100);
        errors.requireRange("--body-bytes", bodyBytes, 0, 1_048_576);
        errors.requireRange("--deadline-ms", deadlineMs, 1, 600_000);
        errors.requireRange("--max-repeats", maxRetries, 0, 100);
        if (zipfExponent < 0 || zipfExponent > 3) {
            errors.add("--zipf", "must be between 0 and 3");
        }
    }

    public List<HostAddress> targets() {
        return parsedTargets;
    }

    public boolean direct() {
        return direct;
    }

    /** Returns the line printed above the reports of a scenario; empty without a scenario. */
    public Optional<String> scenarioHeading() {
        return parsedScenario.map(knownScenario ->
                "scenario " + scenario + ", for servers with " + knownScenario.slotsPerServer() + " slots");
    }

    /** Returns the plans of the measured run, which start together: one, or one per service of the scenario. */
    public List<LoadPlan> plans() {
        return plans(durationMs, seed);
    }

    /** Returns the plans of the warm-up run; empty if there is none. */
    public List<LoadPlan> warmupPlans() {
        return warmupMs == 0 ? List.of() : plans(warmupMs, seed + WARMUP_SEED_OFFSET);
    }

    private List<LoadPlan> plans(long planDurationMs, long firstSeed) {
        if (parsedScenario.isEmpty()) {
            return List.of(plan(new ServiceShare(service, keyed, 100, writePercent), planDurationMs, firstSeed));
        }
        List<LoadPlan> plans = new ArrayList<>();
        for (ServiceShare share : parsedScenario.get().serviceShares()) {
            plans.add(plan(share, planDurationMs, firstSeed + plans.size()));
        }
        return plans;
    }

    private LoadPlan plan(ServiceShare share, long planDurationMs, long planSeed) {
        return new LoadPlan(
                share.service(),
                share.keyed(),
                Math.max(1, ratePerSecond * share.ratePercent() / 100),
                planDurationMs,
                keys,
                zipfExponent,
                hotKeys,
                hotChangeMs,
                share.writePercent(),
                bodyBytes,
                deadlineMs,
                maxRetries,
                planSeed);
    }

    private static Scenario parseScenario(String name) {
        for (Scenario candidate : Scenario.values()) {
            if (candidate.name().toLowerCase(Locale.ROOT).equals(name)) {
                return candidate;
            }
        }
        throw new IllegalArgumentException("must be authority or tincturia, got " + name);
    }

    public List<Path> ledgerFiles() {
        return ledgerFiles.isEmpty()
                ? List.of()
                : List.of(ledgerFiles.split(",")).stream().map(Path::of).toList();
    }

    public String reportPathPrefix() {
        return reportPathPrefix;
    }
}
