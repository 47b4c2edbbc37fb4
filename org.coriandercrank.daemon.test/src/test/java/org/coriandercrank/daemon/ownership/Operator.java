package org.coriandercrank.daemon.ownership;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.coriandercrank.kernel.config.BackendRule;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;

/**
 * Writes the configuration, and writes it again after the store has lost it. The number of a version is part of the
 * content: the configuration of version 7 has a service {@code version-7}. Not thread safe.
 */
final class Operator {
    private static final String VERSION_PREFIX = "version-";
    private static final long RETRY_MS = 100;

    private final SimulatedTime time;
    private final SimulatedStore store;
    private final Trace trace;
    private final Set<String> drained = new TreeSet<>();
    private long version;

    Operator(SimulatedTime time, SimulatedStore store, Trace trace) {
        this.time = time;
        this.store = store;
        this.trace = trace;
    }

    /** Returns the version number of a configuration; 0 if it has none. */
    static long version(Configuration configuration) {
        return configuration.services().stream()
                .map(service -> service.name().value())
                .filter(name -> name.startsWith(VERSION_PREFIX))
                .mapToLong(name -> Long.parseLong(name.substring(VERSION_PREFIX.length())))
                .findFirst()
                .orElse(0);
    }

    void writeNextVersion() {
        version++;
        write();
    }

    void drain(String backendName) {
        drained.add(backendName);
        writeNextVersion();
    }

    void endDrains() {
        if (!drained.isEmpty()) {
            drained.clear();
            writeNextVersion();
        }
    }

    /** Writes the latest version, as soon as the store is there. */
    void write() {
        if (store.isAway()) {
            time.schedule(RETRY_MS, this::write);
            return;
        }
        trace.add(() -> "CONFIG version " + version + " drained " + drained);
        store.overwrite(ObjectNames.CONFIGURATION, JsonCodec.encode(configuration()));
    }

    private Configuration configuration() {
        ServiceConfig defaults = ServiceConfig.withDefaults(SimulatedCluster.SERVICE, true);
        ServiceConfig keyed = new ServiceConfig(
                defaults.name(),
                true,
                defaults.repeatableMethods(),
                defaults.defaultDeadlineMs(),
                defaults.maxDeadlineMs(),
                defaults.maxBodyBytes(),
                defaults.maxQueueLength(),
                defaults.maxKeySharePercent(),
                defaults.placementPolicy(),
                defaults.balancingPolicy(),
                defaults.locality(),
                HeldKeys.BITS);
        ServiceConfig versioned = ServiceConfig.withDefaults(new ServiceName(VERSION_PREFIX + version), false);
        return new Configuration(
                        List.of(keyed, versioned),
                        drained.stream()
                                .map(name -> new BackendRule(name, BackendRule.DEFAULT_WEIGHT_PERCENT, true))
                                .toList(),
                        List.of())
                .withVersion(version);
    }
}
