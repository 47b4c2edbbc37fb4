import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: the stand-in of the store, and machines of one daemon and one upstream each. The
 * daemons run with the command of the deploy file.
 */
final class Site implements AutoCloseable {
    static final double HEARTBEAT_S = 0.87;
    private static final int STORE_PORT = 8309;
    private static final int APP_PORT = 8301;
    private static final int READY_PORT = 8302;
    private static final int OUTBOUND_PORT = 8304;
    private static final int ADMIN_PORT = 8306;
    private static final int[] PORTS = {8300, APP_PORT, READY_PORT, OUTBOUND_PORT, ADMIN_PORT, 7620, 9464, STORE_PORT};

    /** A machine with its daemon. */
    final class Machine {
        final String name;
        final String ip;
        final String zone;
        final String service;
        final boolean sharded;
        Process daemon;
        Upstream upstream;

        private Machine(String name, String ip, String zone, String service, boolean sharded) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            this.service = service;
            this.sharded = sharded;
        }

        String outbound() {
            return ip + ":" + OUTBOUND_PORT;
        }

        String admin() {
            return ip + ":" + ADMIN_PORT;
        }

        String app() {
            return ip + ":" + APP_PORT;
        }

        void startDaemon() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.write(settings, Json.write(settings(this)));
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("CORIANDERCRANK_SETTINGS", settings.toString());
            File log = folder.resolve(name + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            daemon = builder.start();
            record.add("daemon %s starts", name);
        }

        boolean isReady() {
            try {
                return Http.exchange(ip + ":" + READY_PORT, "GET", "/coriandercrank/ready", Map.of(), new byte[0], 1_000)
                                .status()
                        == 200;
            } catch (IOException e) {
                return false;
            }
        }

        String daemonLog() throws IOException {
            return Files.readString(folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1);
        }
    }

    final Recorder record;
    final Path folder;
    final Store store;
    final List<Machine> machines = new ArrayList<>();
    private final Path root = Path.of("").toAbsolutePath();
    private final List<String> command;
    private final String network;

    Site(Recorder record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review-site");
        network = freeNetwork();
        command = command();
        store = new Store(network + ".250", STORE_PORT);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killDaemons));
    }

    /** Finds a loopback network whose addresses have all ports free. */
    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 50; attempt++) {
            String network = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250));
            boolean free = true;
            for (int host : new int[] {1, 2, 3, 4, 5, 6, 7, 8, 250}) {
                for (int port : PORTS) {
                    try (ServerSocket socket = new ServerSocket()) {
                        socket.bind(new InetSocketAddress(network + "." + host, port));
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return network;
            }
        }
        throw new IOException("no free loopback network");
    }

    /** The words of the command with which the deploy file runs the daemon. */
    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.length() - 1).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no command");
    }

    Machine addMachine(String zone, String service, boolean sharded) {
        int number = machines.size() + 1;
        Machine machine = new Machine("sidecar-" + zone + "-" + number, network + "." + number, zone, service, sharded);
        machines.add(machine);
        return machine;
    }

    Upstream startUpstream(Machine machine, String id, int slots) throws IOException {
        machine.upstream = new Upstream(
                id, machine.service, machine.app(), machine.admin(), machine.zone, slots, machine.sharded, HEARTBEAT_S, record);
        return machine.upstream;
    }

    private ObjectNode settings(Machine machine) {
        ObjectNode root = Json.object();
        root.put("node_name", machine.name).put("role", "crankd").put("machine_class", "sidecar");
        root.putArray("serves").add("sidecar");
        root.put("ip", machine.ip).put("zone", machine.zone).put("region", "cornwall");
        root.putObject("zones").put("montego", "cornwall").put("savanna", "cornwall");
        root.putObject("listen")
                .put("inbound", machine.ip + ":8300")
                .put("outbound", machine.outbound())
                .put("ready", machine.ip + ":" + READY_PORT)
                .put("admin", machine.admin());
        root.putArray("port_range").add(7620).add(7635);
        root.putArray("seeds");
        root.put("first_start", true).put("in_fault_budget", false);
        root.putObject("limits")
                .put("cpu_share", 0.6)
                .put("cores", 1)
                .put("memory_mb", 430)
                .put("max_fds", 4100)
                .put("link_mbps", 1000.0)
                .put("disk_mb", 0);
        root.putNull("data_dir");
        root.put("discovery", "static").put("entry", "static").put("heartbeat_s", HEARTBEAT_S);
        ArrayNode contracts = root.putArray("contracts");
        for (String contract : "base drain config cost retry recover own platform".split(" ")) {
            contracts.add(contract);
        }
        root.putObject("fault_tolerance").put("machines", 2).put("zones", 0).put("regions", 0);
        root.putObject("bounds")
                .put("seed_lag_s", 3)
                .put("addr_reuse_s", 2)
                .put("contact_s", 3)
                .put("ack_s", 4)
                .put("catch_up_s", 4)
                .put("drain_s", 2.5)
                .put("grace_s", 6)
                .put("lost_slack_s", 0.2)
                .put("config_apply_s", 2.5)
                .put("rollback_slack_s", 0.25)
                .put("max_skew_s", 5)
                .put("retry_budget_ratio", 0.2)
                .put("budget_window_s", 10)
                .put("retry_budget_slack", 56)
                .put("recover_s", 15)
                .put("hold_max_s", 10)
                .put("thaw_slack_s", 0.3);
        root.put("grants", "heartbeat").put("app_addr", machine.app()).put("service", machine.service);
        root.putObject("platform")
                .put("address", store.address())
                .put("form", "objects")
                .put("writes_per_s", 400)
                .put("reads_per_s", 2000)
                .put("history_s", 20)
                .put("value_bytes", 1048576)
                .put("ttl_min_s", 1);
        return root;
    }

    /**
     * Writes a configuration with one route for each service of the machines. The host of a route is the name of the
     * service with {@code .example}, its prefix {@code /r/}.
     */
    void configure(String version, Map<String, String> kindByService, double timeoutS) {
        ObjectNode spec = Json.object().put("version", version);
        ObjectNode routes = spec.putObject("routes");
        ObjectNode services = spec.putObject("services");
        kindByService.forEach((service, kind) -> {
            routes.putObject("route-" + service)
                    .put("host", service + ".example")
                    .put("path_prefix", "/r/")
                    .put("route_kind", kind)
                    .put("timeout_s", timeoutS)
                    .put("target_latency_s", timeoutS / 2)
                    .put("priority", 1)
                    .put("service", service)
                    .put("attempts", 2);
            ObjectNode entry = services.putObject(service)
                    .put("health_path", "/healthz")
                    .put("max_connections", 110)
                    .put("protocol", "h1")
                    .put("tls", false);
            if (machines.stream().anyMatch(m -> m.service.equals(service) && m.sharded)) {
                entry.put("sharded", true).put("warmup_s", 5.0).put("grants", "heartbeat");
            }
        });
        spec.putObject("limits")
                .put("max_header_bytes", 16384)
                .put("max_body_bytes", 67108864)
                .put("header_timeout_s", 3)
                .put("idle_timeout_s", 15);
        store.putByOperator("config", "main", spec);
        record.add("configuration %s is confirmed", version);
    }

    /** Headers of a consumer's request. */
    static Map<String, String> request(String service, String requestId, int key, int deadlineMs) {
        Map<String, String> headers = new java.util.LinkedHashMap<>();
        headers.put("Host", service + ".example");
        headers.put("Coriandercrank-Request-Id", requestId);
        headers.put("Coriandercrank-Request-Deadline", Integer.toString(deadlineMs));
        if (key >= 0) {
            headers.put("Coriandercrank-Shard-Key", Integer.toString(key));
        }
        return headers;
    }

    /** Waits until a condition holds; returns whether it does. */
    static boolean await(double seconds, java.util.function.BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() - endNanos < 0) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Thread.sleep(50);
        }
        return condition.getAsBoolean();
    }

    private void killDaemons() {
        for (Machine machine : machines) {
            if (machine.daemon != null) {
                machine.daemon.destroyForcibly();
            }
        }
    }

    /** Ends all processes; keeps the logs of the daemons beside the record if the variable KEEP_LOGS names a folder. */
    @Override
    public void close() throws IOException {
        for (Machine machine : machines) {
            if (machine.upstream != null) {
                machine.upstream.close();
            }
        }
        killDaemons();
        for (Machine machine : machines) {
            try {
                if (machine.daemon != null) {
                    machine.daemon.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        String kept = System.getenv("KEEP_LOGS");
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                if (kept != null && file.toString().endsWith(".log")) {
                    Files.createDirectories(Path.of(kept));
                    Files.copy(file, Path.of(kept).resolve(file.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
