package org.coriandercrank.standin;

import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.settings.Settings;
import org.coriandercrank.kernel.settings.ValidationErrors;
import org.kohsuke.args4j.Option;

/** Settings of {@code crank-store}. Not thread safe; read-only after loading. */
public final class StoreSettings implements Settings {
    private static final int MAX_HISTORY_ENTRIES = 10_000_000;

    @Option(name = "--listen", usage = "address of the HTTP server, ip:port")
    String listen = "127.0.0.1:7100";

    @Option(name = "--history-entries", usage = "number of past changes kept for watches")
    int historyEntries = 10_000;

    @Option(
            name = "--first-era",
            usage = "era that answers name until the store returns from an older copy; 0 for none")
    long firstEra = 0;

    @Option(name = "--fault-seed", usage = "seed of faults with a probability")
    long faultSeed = 1;

    @Override
    public void validate(ValidationErrors errors) {
        errors.parse("--listen", listen, HostAddress::parse);
        errors.requireRange("--history-entries", historyEntries, 1, MAX_HISTORY_ENTRIES);
        errors.requireRange("--first-era", firstEra, 0, Era.MAX_VALUE);
    }
}
