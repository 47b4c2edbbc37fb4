package org.coriandercrank.standin;

import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.settings.Settings;
import org.coriandercrank.kernel.settings.ValidationErrors;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.BackendInfo.Capability;
import org.coriandercrank.standin.internal.BackendOptions;
import org.kohsuke.args4j.Option;

/** Settings of {@code crank-backend}. Not thread safe; read-only after loading. */
public final class BackendSettings implements Settings {
    private static final int MAX_COUNT = 100_000;
    private static final long MAX_DURATION_MS = 3_600_000;
    private static final double MAX_COLD_START_FACTOR = 1_000;

    @Option(name = "--name", usage = "name of the server")
    String name = "backend";

    @Option(name = "--service", usage = "name of the service")
    String service = "";

    @Option(name = "--listen", usage = "address of the HTTP server, ip:port; also the announced address")
    String listen = "127.0.0.1:7200";

    @Option(name = "--daemon", usage = "admin address of the daemon beside this server, ip:port; empty: none")
    String daemon = "";

    @Option(name = "--slots", usage = "requests executed at the same time")
    int slots = 18;

    @Option(name = "--max-connections", usage = "open connections; further ones are closed at once")
    int maxConnections = 110;

    @Option(name = "--queue-limit", usage = "requests that may wait for a slot; further ones are shed")
    int queueLimit = 256;

    @Option(name = "--service-ms", usage = "time that a request occupies a slot")
    long serviceMs = 2;

    @Option(name = "--capabilities", usage = "comma list of fence, validity, cancel, deadline; none for an empty list")
    String capabilities = "fence,validity,cancel,deadline";

    @Option(name = "--cold-start-ms", usage = "time after the start during which requests take longer")
    long coldStartMs = 0;

    @Option(name = "--cold-start-factor", usage = "factor on the service time at the start, decreasing to 1")
    double coldStartFactor = 5;

    @Option(name = "--health-lag-ms", usage = "age of the state that the health and load endpoints report")
    long healthLagMs = 0;

    @Option(name = "--crash-path", usage = "path prefix of requests that end the process; empty: none")
    String crashPath = "";

    @Option(name = "--ledger-file", usage = "file to which each execution is appended as a JSON line; empty: none")
    String ledgerFile = "";

    @Option(name = "--fault-seed", usage = "seed of faults with a probability")
    long faultSeed = 1;

    @Override
    public void validate(ValidationErrors errors) {
        errors.parse("--service", service, ServiceName::new);
        errors.parse("--listen", listen, HostAddress::parse);
        if (!daemon.isEmpty()) {
            errors.parse("--daemon", daemon, HostAddress::parse);
        }
        if (name.isEmpty()) {
            errors.add("--name", "is required");
        }
        errors.attempt("--capabilities", this::parseCapabilities);
        errors.requireRange("--slots", slots, 1, MAX_COUNT);
        errors.requireRange("--max-connections", maxConnections, 1, MAX_COUNT);
        errors.requireRange("--queue-limit", queueLimit, 0, MAX_COUNT);
        errors.requireRange("--service-ms", serviceMs, 0, MAX_DURATION_MS);
        errors.requireRange("--cold-start-ms", coldStartMs, 0, MAX_DURATION_MS);
        errors.requireRange("--health-lag-ms", healthLagMs, 0, MAX_DURATION_MS);
        if (!(coldStartFactor >= 1 && coldStartFactor <= MAX_COLD_START_FACTOR)) {
            errors.add("--cold-start-factor", "must be between 1 and " + MAX_COLD_START_FACTOR);
        }
    }

    private Set<Capability> parseCapabilities() {
        if ("none".equals(capabilities)) {
            return Set.of();
        }
        return Arrays.stream(capabilities.split(",", -1))
                .map(text -> Capability.valueOf(text.strip().toUpperCase(Locale.ROOT)))
                .collect(Collectors.toSet());
    }

    /** Returns the description that the server sends to its daemon, with the address to which the server is bound. */
    BackendInfo backendInfo(HostAddress bound) {
        return new BackendInfo(name, new ServiceName(service), bound, slots, maxConnections, parseCapabilities());
    }

    BackendOptions toOptions() {
        return new BackendOptions(
                backendInfo(HostAddress.parse(listen)),
                queueLimit,
                serviceMs,
                coldStartMs,
                coldStartFactor,
                healthLagMs,
                faultSeed,
                ledgerFile,
                crashPath);
    }
}
