package org.coriandercrank.daemon.internal;

import java.util.logging.Level;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.settings.Settings;
import org.coriandercrank.kernel.settings.ValidationErrors;
import org.kohsuke.args4j.Option;

/** Settings of {@code crankd}. Not thread safe; read-only after loading. */
public final class DaemonSettings implements Settings {
    private static final int MAX_HOST_NAME_LENGTH = 48;
    private static final int MAX_LINK_MBIT_PER_SECOND = 1_000_000;
    private static final int MAX_LOG_LINES_PER_SECOND = 1_000_000;

    @Option(name = "--host-name", metaVar = "NAME", usage = "name of this host; start of the member id")
    private String hostName;

    @Option(name = "--region", metaVar = "NAME", usage = "region of this host")
    private String region;

    @Option(name = "--failure-domain", metaVar = "NAME", usage = "failure domain of this host")
    private String failureDomain;

    @Option(name = "--peer-listen", metaVar = "IP:PORT", usage = "address for connections from other daemons")
    private String peerListen;

    @Option(
            name = "--peer-advertise",
            metaVar = "IP:PORT",
            usage = "address that other daemons connect to; default: the listen address")
    private String peerAdvertise = "";

    @Option(name = "--caller-listen", metaVar = "IP:PORT", usage = "address for callers")
    private String callerListen;

    @Option(
            name = "--admin-listen",
            metaVar = "IP:PORT",
            usage = "address for operators, metrics and the backend server")
    private String adminListen;

    @Option(name = "--store", metaVar = "IP:PORT", usage = "address of the object store")
    private String store;

    @Option(name = "--store-adapter", metaVar = "NAME", usage = "name of the store adapter")
    private String storeAdapter = "http";

    @Option(name = "--store-timeout-ms", metaVar = "MS", usage = "timeout of a call to the store")
    private long storeTimeoutMs = 1_000;

    @Option(name = "--backend-adapter", metaVar = "NAME", usage = "name of the backend server adapter")
    private String backendAdapter = "http";

    @Option(name = "--ttl-ms", metaVar = "MS", usage = "how long a vote on the lease is valid")
    private long ttlMs = 2_000;

    @Option(name = "--heartbeat-ms", metaVar = "MS", usage = "interval between heartbeats to witnesses")
    private long heartbeatMs = 500;

    @Option(
            name = "--margin-percent",
            metaVar = "PERCENT",
            usage = "time after which others treat a vote as expired, in percent of the TTL")
    private int marginPercent = 105;

    @Option(
            name = "--watch-wait-ms",
            metaVar = "MS",
            usage = "how long a watch of the store by a relay waits for a change")
    private long watchWaitMs = 1_000;

    @Option(
            name = "--configuration-watch-wait-ms",
            metaVar = "MS",
            usage = "how long a watch of the configuration by other daemons waits; 0: they learn it from peers only")
    private long configurationWatchWaitMs = 0;

    @Option(
            name = "--startup-watch-ms",
            metaVar = "MS",
            usage = "time after the start during which a daemon without a relay watches the store as well")
    private long startupWatchMs = 0;

    @Option(name = "--drain-timeout-ms", metaVar = "MS", usage = "maximum duration of a graceful shutdown")
    private long drainTimeoutMs = 30_000;

    @Option(name = "--io-threads", metaVar = "N", usage = "threads for network input and output")
    private int ioThreads = 2;

    @Option(
            name = "--link-mbit-per-second",
            metaVar = "MBIT",
            usage = "rate of the link of this host, on which long answers are paced; 0: not known")
    private int linkMbitPerSecond = 0;

    @Option(name = "--log-level", metaVar = "LEVEL", usage = "SEVERE, WARNING, INFO, FINE")
    private String logLevel = "INFO";

    @Option(
            name = "--routing-log-lines-per-second",
            metaVar = "N",
            usage = "maximum number of log lines per second for routing decisions; 0 writes none")
    private int routingLogLinesPerSecond = 200;

    private Region parsedRegion;
    private FailureDomain parsedFailureDomain;
    private HostAddress parsedPeerListen;
    private HostAddress parsedPeerAdvertise;
    private HostAddress parsedCallerListen;
    private HostAddress parsedAdminListen;
    private HostAddress parsedStore;
    private Level parsedLogLevel;

    @Override
    public void validate(ValidationErrors errors) {
        errors.parse("--host-name", hostName, MemberId::new);
        if (hostName != null && hostName.length() > MAX_HOST_NAME_LENGTH) {
            errors.add("--host-name", "must have at most " + MAX_HOST_NAME_LENGTH + " characters");
        }
        parsedRegion = errors.parse("--region", region, Region::new);
        parsedFailureDomain = errors.parse("--failure-domain", failureDomain, FailureDomain::new);
        parsedPeerListen = errors.parse("--peer-listen", peerListen, HostAddress::parse);
        parsedPeerAdvertise = peerAdvertise.isEmpty()
                ? parsedPeerListen
                : errors.parse("--peer-advertise", peerAdvertise, HostAddress::parse);
        parsedCallerListen = errors.parse("--caller-listen", callerListen, HostAddress::parse);
        parsedAdminListen = errors.parse("--admin-listen", adminListen, HostAddress::parse);
        parsedStore = errors.parse("--store", store, HostAddress::parse);
        parsedLogLevel = errors.parse("--log-level", logLevel, Level::parse);
        errors.requireRange("--store-timeout-ms", storeTimeoutMs, 10, 60_000);
        errors.requireRange("--ttl-ms", ttlMs, 200, 60_000);
        errors.requireRange("--heartbeat-ms", heartbeatMs, 10, ttlMs / 2);
        errors.requireRange("--margin-percent", marginPercent, 101, 200);
        errors.requireRange("--watch-wait-ms", watchWaitMs, 10, 60_000);
        errors.requireRange("--configuration-watch-wait-ms", configurationWatchWaitMs, 0, 60_000);
        errors.requireRange("--startup-watch-ms", startupWatchMs, 0, 600_000);
        errors.requireRange("--drain-timeout-ms", drainTimeoutMs, 0, 600_000);
        errors.requireRange("--io-threads", ioThreads, 1, 64);
        errors.requireRange("--link-mbit-per-second", linkMbitPerSecond, 0, MAX_LINK_MBIT_PER_SECOND);
        errors.requireRange("--routing-log-lines-per-second", routingLogLinesPerSecond, 0, MAX_LOG_LINES_PER_SECOND);
    }

    public String hostName() {
        return hostName;
    }

    public Region region() {
        return parsedRegion;
    }

    public FailureDomain failureDomain() {
        return parsedFailureDomain;
    }

    public HostAddress peerListen() {
        return parsedPeerListen;
    }

    public HostAddress peerAdvertise() {
        return parsedPeerAdvertise;
    }

    public HostAddress callerListen() {
        return parsedCallerListen;
    }

    public HostAddress adminListen() {
        return parsedAdminListen;
    }

    public HostAddress store() {
        return parsedStore;
    }

    public String storeAdapter() {
        return storeAdapter;
    }

    public long storeTimeoutMs() {
        return storeTimeoutMs;
    }

    public String backendAdapter() {
        return backendAdapter;
    }

    public long ttlMs() {
        return ttlMs;
    }

    public long heartbeatMs() {
        return heartbeatMs;
    }

    public int marginPercent() {
        return marginPercent;
    }

    public long watchWaitMs() {
        return watchWaitMs;
    }

    public long configurationWatchWaitMs() {
        return configurationWatchWaitMs;
    }

    public long startupWatchMs() {
        return startupWatchMs;
    }

    public long drainTimeoutMs() {
        return drainTimeoutMs;
    }

    public int ioThreads() {
        return ioThreads;
    }

    public int linkMbitPerSecond() {
        return linkMbitPerSecond;
    }

    public Level logLevel() {
        return parsedLogLevel;
    }

    public int routingLogLinesPerSecond() {
        return routingLogLinesPerSecond;
    }
}
