package org.coriandercrank.experiment.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.testkit.ClusterHost;
import org.coriandercrank.testkit.LocalCluster;

/** Reads status and counters of the daemons and of the store of a cluster. Not thread safe. */
final class FleetSampler implements AutoCloseable {
    private static final long REQUEST_TIMEOUT_MS = 5_000;

    /** Indexes in the fields of {@code /proc/PID/stat} that follow the process name. */
    private static final int PROC_STAT_USER_FIELD = 11;

    private static final int PROC_STAT_SYSTEM_FIELD = 12;

    private static final double MS_PER_CLOCK_TICK = 10;
    private static final double BYTES_PER_KB = 1_024;

    private final LocalCluster cluster;
    private final EventLoopGroup eventLoopGroup;
    private final Map<HostAddress, HttpClient> clients = new HashMap<>();

    FleetSampler(LocalCluster cluster, EventLoopGroup eventLoopGroup) {
        this.cluster = cluster;
        this.eventLoopGroup = eventLoopGroup;
    }

    /** Returns the status of the daemon of a host; empty if it cannot be queried. */
    Optional<DaemonStatus> status(ClusterHost host) {
        return get(host.adminAddress(), "/v1/status")
                .map(response -> JsonCodec.decode(response.body(), DaemonStatus.class));
    }

    /** Reads all counters. Blocks. A daemon that cannot be queried adds nothing to the sums over daemon metrics. */
    FleetSample sample() {
        double cpuMs = 0;
        double controlBytes = 0;
        double controlMessages = 0;
        double heapBytes = 0;
        double residentBytes = 0;
        long nowNanos = System.nanoTime();
        for (ClusterHost host : cluster.hosts()) {
            long pid = host.daemon().pid();
            cpuMs += cpuMs(pid);
            residentBytes += residentBytes(pid);
            String metrics = get(host.adminAddress(), "/metrics")
                    .map(HttpResponse::bodyText)
                    .orElse("");
            controlBytes += sumMetric(metrics, "crank_peer_bytes_total", "kind=\"control\"");
            controlMessages += sumMetric(metrics, "crank_peer_messages_total", "kind=\"control\"");
            heapBytes += sumMetric(metrics, "jvm_memory_used_bytes", "area=\"heap\"");
        }
        JsonNode storeRequestCounts = storeRequestCounts();
        return new FleetSample(
                nowNanos,
                cpuMs,
                controlBytes,
                controlMessages,
                heapBytes,
                residentBytes,
                storeRequestCounts.path("get").asLong()
                        + storeRequestCounts.path("list").asLong(),
                storeRequestCounts.path("put").asLong()
                        + storeRequestCounts.path("delete").asLong(),
                storeRequestCounts.path("watch").asLong());
    }

    private JsonNode storeRequestCounts() {
        HttpResponse response = get(cluster.storeAddress(), "/admin/stats").orElseThrow();
        try {
            return JsonCodec.mapper().readTree(response.body()).get("calls");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Optional<HttpResponse> get(HostAddress address, String path) {
        HttpClient client = clients.computeIfAbsent(
                address, target -> new HttpClient(eventLoopGroup, target, HttpClientOptions.DEFAULTS));
        try {
            return Optional.of(
                    client.send(HttpRequest.of("GET", path), REQUEST_TIMEOUT_MS).join());
        } catch (RuntimeException e) {
            return Optional.empty();
        }
    }

    private static double sumMetric(String metrics, String name, String label) {
        return metrics.lines()
                .filter(line -> line.startsWith(name) && line.contains(label))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    private static double cpuMs(long pid) {
        String stat = readFile(Path.of("/proc", Long.toString(pid), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double clockTicks =
                Double.parseDouble(fields[PROC_STAT_USER_FIELD]) + Double.parseDouble(fields[PROC_STAT_SYSTEM_FIELD]);
        return clockTicks * MS_PER_CLOCK_TICK;
    }

    private static double residentBytes(long pid) {
        List<String> lines =
                readFile(Path.of("/proc", Long.toString(pid), "status")).lines().toList();
        for (String line : lines) {
            if (line.startsWith("VmRSS:")) {
                return Double.parseDouble(line.replaceAll("[^0-9]", "")) * BYTES_PER_KB;
            }
        }
        return 0;
    }

    private static String readFile(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        clients.values().forEach(HttpClient::close);
    }
}
