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
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.testkit.LocalCluster;
import org.coriandercrank.testkit.ClusterHost;

/** Reads counters of the daemons and of the store of a site. Not thread safe. */
final class FleetSampler implements AutoCloseable {
    private static final long TIMEOUT_MS = 5_000;
    private static final int PROC_STAT_USER_FIELD = 11;
    private static final int PROC_STAT_SYSTEM_FIELD = 12;
    private static final double MS_PER_CLOCK_TICK = 10;
    private static final double BYTES_PER_KB = 1_024;

    private final LocalCluster site;
    private final EventLoopGroup group;
    private final Map<HostAddress, HttpClient> clients = new HashMap<>();

    FleetSampler(LocalCluster site, EventLoopGroup group) {
        this.site = site;
        this.group = group;
    }

    Optional<DaemonStatus> status(ClusterHost host) {
        return get(host.adminAddress(), "/v1/status").map(r -> JsonCodec.decode(r.body(), DaemonStatus.class));
    }

    FleetSample sample() {
        double cpuMs = 0;
        double bytes = 0;
        double messages = 0;
        double heap = 0;
        double resident = 0;
        long nowNanos = System.nanoTime();
        for (ClusterHost host : site.hosts()) {
            long pid = host.daemon().pid();
            cpuMs += cpuMs(pid);
            resident += residentBytes(pid);
            String metrics = get(host.adminAddress(), "/metrics")
                    .map(HttpResponse::bodyText)
                    .orElse("");
            bytes += sum(metrics, "crank_peer_bytes_total", "kind=\"control\"");
            messages += sum(metrics, "crank_peer_messages_total", "kind=\"control\"");
            heap += sum(metrics, "jvm_memory_used_bytes", "area=\"heap\"");
        }
        JsonNode calls = storeCalls();
        return new FleetSample(
                nowNanos,
                cpuMs,
                bytes,
                messages,
                heap,
                resident,
                calls.path("get").asLong() + calls.path("list").asLong(),
                calls.path("put").asLong() + calls.path("delete").asLong(),
                calls.path("watch").asLong());
    }

    private JsonNode storeCalls() {
        HttpResponse reply = get(site.storeAddress(), "/admin/stats").orElseThrow();
        try {
            return JsonCodec.mapper().readTree(reply.body()).get("calls");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Optional<HttpResponse> get(HostAddress address, String path) {
        HttpClient client = clients.computeIfAbsent(address, a -> new HttpClient(group, a, HttpClientOptions.DEFAULTS));
        try {
            return Optional.of(client.send(HttpRequest.of("GET", path), TIMEOUT_MS).join());
        } catch (RuntimeException e) {
            return Optional.empty();
        }
    }

    private static double sum(String metrics, String name, String label) {
        return metrics.lines()
                .filter(line -> line.startsWith(name) && line.contains(label))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    private static double cpuMs(long pid) {
        String stat = read(Path.of("/proc", Long.toString(pid), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double ticks =
                Double.parseDouble(fields[PROC_STAT_USER_FIELD]) + Double.parseDouble(fields[PROC_STAT_SYSTEM_FIELD]);
        return ticks * MS_PER_CLOCK_TICK;
    }

    private static double residentBytes(long pid) {
        List<String> lines =
                read(Path.of("/proc", Long.toString(pid), "status")).lines().toList();
        for (String line : lines) {
            if (line.startsWith("VmRSS:")) {
                return Double.parseDouble(line.replaceAll("[^0-9]", "")) * BYTES_PER_KB;
            }
        }
        return 0;
    }

    private static String read(Path file) {
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
