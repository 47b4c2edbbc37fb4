import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for the users' platform, after PROTOCOL.md and DEPLOY.md: the metadata store, upstreams that hold keys, the
 * settings of the daemons, and a client. The daemons are separate processes, started with the command of the deploy file.
 */
final class Platform {
    static final ObjectMapper JSON = new ObjectMapper();
    static final int KEYS = 65_536;

    final Path repository;
    final Path folder;
    final int network = ThreadLocalRandom.current().nextInt(20, 250);
    final List<Process> processes = new CopyOnWriteArrayList<>();
    final List<Upstream> upstreams = new CopyOnWriteArrayList<>();
    final Store store;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final AtomicLong ids = new AtomicLong(System.nanoTime());
    double heartbeatS = 1.5;
    int graceS = 6;

    Platform(Path repository, Path folder, Path recordFile) throws IOException {
        this.repository = repository;
        this.folder = folder;
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
        store = new Store(ip(200), 8309);
    }

    String ip(int host) {
        return "127." + network + ".7." + host;
    }

    void stopAll() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void log(String line) {
        record.printf(Locale.ROOT, "%7.3f %s%n", nowMs() / 1000.0, line);
    }

    String newId() {
        return String.format("%016x", ids.addAndGet(0x9e3779b97f4a7c15L));
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- daemons

    /** Starts the daemon of a host with the command of the deploy file. */
    Process startDaemon(int host, String service, boolean first) throws IOException {
        String name = "sidecar-z-" + host;
        ObjectNode settings = JSON.createObjectNode();
        settings.put("node_name", name).put("role", "crankd").put("machine_class", "sidecar");
        settings.putArray("serves").add("sidecar");
        settings.put("ip", ip(host)).put("zone", "za").put("region", "ra");
        settings.putObject("zones").put("za", "ra");
        settings.putObject("listen")
                .put("inbound", ip(host) + ":8300")
                .put("outbound", ip(host) + ":8304")
                .put("ready", ip(host) + ":8302")
                .put("admin", ip(host) + ":8306");
        settings.putArray("port_range").add(7620).add(7635);
        settings.putArray("seeds");
        settings.put("first_start", first).put("in_fault_budget", false);
        settings.putObject("limits")
                .put("cpu_share", 0.6)
                .put("cores", 1)
                .put("memory_mb", 430)
                .put("max_fds", 4100)
                .put("link_mbps", 1000.0)
                .put("disk_mb", 0);
        settings.putNull("data_dir").put("discovery", "static").put("entry", "static").put("heartbeat_s", heartbeatS);
        ArrayNode contracts = settings.putArray("contracts");
        for (String contract : List.of("base", "drain", "config", "cost", "retry", "recover", "own", "platform")) {
            contracts.add(contract);
        }
        settings.putObject("fault_tolerance").put("machines", 2).put("zones", 0).put("regions", 0);
        settings.putObject("bounds")
                .put("seed_lag_s", 3).put("addr_reuse_s", 2).put("contact_s", 3).put("ack_s", 4).put("catch_up_s", 4)
                .put("drain_s", 2.5).put("grace_s", graceS).put("lost_slack_s", 0.2).put("config_apply_s", 2.5)
                .put("rollback_slack_s", 0.25).put("max_skew_s", 5).put("retry_budget_ratio", 0.2)
                .put("budget_window_s", 10).put("retry_budget_slack", 58).put("recover_s", 15).put("hold_max_s", 10)
                .put("thaw_slack_s", 0.3);
        settings.put("grants", "heartbeat").put("app_addr", ip(host) + ":8301").put("service", service);
        settings.putObject("platform")
                .put("address", ip(200) + ":8309").put("form", "objects").put("writes_per_s", 400)
                .put("reads_per_s", 2000).put("history_s", 20).put("value_bytes", 1048576).put("ttl_min_s", 1);
        Path file = folder.resolve(name + ".json");
        Files.write(file, JSON.writeValueAsBytes(settings));
        String run = Files.readAllLines(repository.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        ProcessBuilder builder = new ProcessBuilder(List.of(run.split(" ")));
        builder.directory(repository.toFile());
        builder.environment().put("CORIANDERCRANK_SETTINGS", file.toString());
        builder.redirectErrorStream(true).redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    boolean awaitReady(int host, long timeoutMs) {
        long end = nowMs() + timeoutMs;
        while (nowMs() < end) {
            try {
                Response response = call(ip(host), 8302, request("GET", "/coriandercrank/ready", Map.of(), null), 1_000);
                if (response.status == 200) {
                    return true;
                }
            } catch (IOException e) {
                // Not there yet.
            }
            sleep(100);
        }
        return false;
    }

    // ---- HTTP

    static final class Request {
        String method;
        String target;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
    }

    static final class Response {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete = true;
    }

    static byte[] request(String method, String target, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        if (!headers.containsKey("Host")) {
            head.append("Host: platform\r\n");
        }
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        return concat(head.toString().getBytes(StandardCharsets.ISO_8859_1), body == null ? new byte[0] : body);
    }

    static byte[] concat(byte[] a, byte[] b) {
        byte[] both = new byte[a.length + b.length];
        System.arraycopy(a, 0, both, 0, a.length);
        System.arraycopy(b, 0, both, a.length, b.length);
        return both;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("end in a line");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        String line;
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    /** Reads the head of a request; null at the end of the connection. */
    static Request readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] parts = line.split(" ");
        Request request = new Request();
        request.method = parts[0];
        request.target = parts[1];
        readHeaders(in, request.headers);
        return request;
    }

    static void readBody(InputStream in, Request request) throws IOException {
        String length = request.headers.get("content-length");
        if (length != null) {
            request.body = readExactly(in, Integer.parseInt(length));
        }
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("end in a body");
        }
        return body;
    }

    /** Reads a whole response; {@code complete} is false if its body ends early. */
    static Response readResponse(InputStream in, boolean head) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("no response");
        }
        Response response = new Response();
        response.status = Integer.parseInt(line.split(" ")[1]);
        readHeaders(in, response.headers);
        String length = response.headers.get("content-length");
        if (head || response.status == 204 || response.status == 304) {
            return response;
        }
        if (length != null) {
            response.body = in.readNBytes(Integer.parseInt(length));
            response.complete = response.body.length == Integer.parseInt(length);
        } else if ("chunked".equalsIgnoreCase(response.headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    response.complete = false;
                    break;
                }
                int bytes = Integer.parseInt(size.trim(), 16);
                if (bytes == 0) {
                    readLine(in);
                    break;
                }
                body.write(readExactly(in, bytes));
                readLine(in);
            }
            response.body = body.toByteArray();
        } else {
            response.body = in.readAllBytes();
        }
        return response;
    }

    /** Sends one request on a new connection. */
    static Response call(String ip, int port, byte[] request, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request);
            return readResponse(new BufferedInputStream(socket.getInputStream()), false);
        }
    }

    static void respond(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        out.write(concat(head.toString().getBytes(StandardCharsets.ISO_8859_1), body));
        out.flush();
    }

    interface Connection {
        void serve(Socket socket) throws IOException;
    }

    static ServerSocket listen(String ip, int port, Connection connection) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
        thread("accept-" + port, () -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    thread("connection", () -> {
                        try (socket) {
                            connection.serve(socket);
                        } catch (IOException e) {
                            // The other side has left.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server;
    }

    // ---- the store

    /** The platform's metadata store: objects with revisions, conditional writes, listings and watches. */
    static final class Store {
        private static final String PREFIX = "/coriandercrank/objects/";
        private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
        private final List<Event> events = new ArrayList<>();
        private long revision = 1;
        volatile long delayMs = 4;

        private record Event(long revision, String kind, ObjectNode object, boolean removed) {}

        Store(String ip, int port) throws IOException {
            listen(ip, port, socket -> {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Request request;
                while ((request = readHead(in)) != null) {
                    readBody(in, request);
                    sleep(delayMs);
                    handle(request, socket.getOutputStream());
                }
            });
        }

        private void handle(Request request, OutputStream out) throws IOException {
            int question = request.target.indexOf('?');
            String path = question < 0 ? request.target : request.target.substring(0, question);
            Map<String, String> query = new HashMap<>();
            if (question >= 0) {
                for (String part : request.target.substring(question + 1).split("&")) {
                    String[] pair = part.split("=", 2);
                    query.put(pair[0], pair.length > 1 ? pair[1] : "");
                }
            }
            String[] names = path.substring(PREFIX.length()).split("/");
            String kind = names[0];
            String name = names.length > 1 ? names[1] : null;
            ObjectNode answer = JSON.createObjectNode();
            int status;
            if (request.method.equals("GET") && name == null && query.containsKey("watch")) {
                status = watch(kind, Long.parseLong(query.get("watch")),
                        Long.parseLong(query.getOrDefault("wait_ms", "0")), answer);
            } else {
                JsonNode body = request.body.length == 0 ? null : JSON.readTree(request.body);
                synchronized (this) {
                    status = name == null && request.method.equals("GET")
                            ? list(kind, query.getOrDefault("after", ""), answer)
                            : one(request.method, kind, name, query, body, answer);
                }
            }
            respond(out, status, Map.of("Content-Type", "application/json"), JSON.writeValueAsBytes(answer));
        }

        private int list(String kind, String after, ObjectNode answer) {
            ArrayNode items = answer.putArray("items");
            boolean more = false;
            for (ObjectNode object : kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values()) {
                if (items.size() == 500) {
                    more = true;
                    break;
                }
                items.add(object.deepCopy());
            }
            answer.put("more", more).put("current_rev", revision);
            return 200;
        }

        private int watch(String kind, long from, long waitMs, ObjectNode answer) {
            long end = System.nanoTime() + waitMs * 1_000_000;
            synchronized (this) {
                while (true) {
                    ArrayNode found = answer.putArray("events");
                    for (Event event : events) {
                        if (event.revision > from && event.kind.equals(kind)) {
                            ObjectNode node = found.addObject();
                            node.set("object", event.object.deepCopy());
                            node.put("removed", event.removed);
                        }
                    }
                    long leftMs = (end - System.nanoTime()) / 1_000_000;
                    if (!found.isEmpty() || leftMs <= 0) {
                        answer.put("current_rev", revision);
                        return 200;
                    }
                    try {
                        wait(leftMs);
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                }
            }
        }

        private int one(
                String method, String kind, String name, Map<String, String> query, JsonNode body, ObjectNode answer) {
            TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
            String objectName = name != null ? name : body.path("metadata").path("name").asText();
            ObjectNode present = objects.get(objectName);
            long expected = query.containsKey("revision")
                    ? Long.parseLong(query.get("revision"))
                    : body == null ? 0 : body.path("metadata").path("revision").asLong(0);
            if (method.equals("POST")) {
                if (present != null) {
                    answer.setAll(present.deepCopy());
                    return 409;
                }
                ObjectNode object = JSON.createObjectNode();
                revision++;
                object.putObject("metadata").put("name", objectName).put("revision", revision).put("created", revision)
                        .put("deletion_pending", false).putArray("finalizers");
                object.set("spec", body.path("spec"));
                object.putNull("status");
                objects.put(objectName, object);
                publish(kind, object, false);
                answer.setAll(object.deepCopy());
                return 200;
            }
            if (present == null) {
                return 404;
            }
            long current = present.path("metadata").path("revision").asLong();
            if (method.equals("GET")) {
                answer.setAll(present.deepCopy());
                return 200;
            }
            if (expected != 0 && expected != current) {
                answer.setAll(present.deepCopy());
                return 409;
            }
            if (method.equals("DELETE")) {
                objects.remove(objectName);
                revision++;
                publish(kind, present, true);
                return 200;
            }
            if (!present.path("spec").equals(body.path("spec"))) {
                ObjectNode object = present.deepCopy();
                revision++;
                ((ObjectNode) object.get("metadata")).put("revision", revision);
                object.set("spec", body.path("spec"));
                objects.put(objectName, object);
                publish(kind, object, false);
                present = object;
            }
            answer.setAll(present.deepCopy());
            return 200;
        }

        private void publish(String kind, ObjectNode object, boolean removed) {
            events.add(new Event(revision, kind, object.deepCopy(), removed));
            notifyAll();
        }

        /** Writes the operator's configuration. */
        synchronized void putConfiguration(ObjectNode spec) {
            ObjectNode body = JSON.createObjectNode();
            body.putObject("metadata").put("name", "main");
            body.set("spec", spec);
            boolean there = kinds.getOrDefault("config", new TreeMap<>()).containsKey("main");
            one(there ? "PUT" : "POST", "config", there ? "main" : null, Map.of(), body, JSON.createObjectNode());
        }
    }

    static ObjectNode route(ObjectNode routes, String name, String host, String prefix, String kind, String service) {
        return routes.putObject(name).put("host", host).put("path_prefix", prefix).put("route_kind", kind)
                .put("timeout_s", 10).put("target_latency_s", 0.5).put("priority", 1).put("service", service)
                .put("attempts", 2);
    }

    static void service(ObjectNode services, String name, boolean sharded) {
        ObjectNode service = services.putObject(name).put("health_path", "/healthz").put("max_connections", 110)
                .put("protocol", "h1").put("tls", false);
        if (sharded) {
            service.put("sharded", true).put("warmup_s", 2.0).put("grants", "heartbeat");
        }
    }

    static void limits(ObjectNode spec) {
        spec.putObject("limits").put("max_header_bytes", 16384).put("max_body_bytes", 67108864)
                .put("header_timeout_s", 3).put("idle_timeout_s", 15);
    }

    // ---- upstreams

    /** How an upstream answers a request; the default runs it and answers with its seal. */
    interface Behaviour {
        /** Returns true if it has handled the request, whose body is not read yet. */
        boolean handle(Upstream upstream, Request request, InputStream in, Socket socket) throws IOException;
    }

    /** An upstream that runs requests, sends pings and holds keys as PROTOCOL.md says. */
    final class Upstream {
        final int host;
        final String service;
        final String id;
        final long born = System.currentTimeMillis();
        final boolean sharded;
        final int[] hold = new int[KEYS];
        final int[] highest = new int[KEYS];
        final int[] working = new int[KEYS];
        final AtomicInteger runs = new AtomicInteger();
        volatile long holdUntilNanos;
        volatile boolean alive = true;
        volatile Behaviour behaviour;
        volatile long workMs = 20;
        volatile int answerBytes = 64;
        volatile java.util.function.Consumer<String> onRun = id -> {};
        volatile java.util.function.ToIntFunction<String> answerSize = id -> answerBytes;
        private final List<Object[]> freed = new ArrayList<>();
        private volatile int seq;
        private volatile ObjectNode latestPing;
        private final ServerSocket listener;

        Upstream(int host, String service, String id, boolean sharded) throws IOException {
            this.host = host;
            this.service = service;
            this.id = id;
            this.sharded = sharded;
            listener = listen(ip(host), 8301, this::serve);
            upstreams.add(this);
            thread("pings-" + id, this::pings);
        }

        private void serve(Socket socket) throws IOException {
            serveFurther(new BufferedInputStream(socket.getInputStream()), socket);
        }

        void serveFurther(InputStream in, Socket socket) throws IOException {
            Request request;
            while (alive && (request = readHead(in)) != null) {
                Behaviour special = behaviour;
                if (special != null && special.handle(this, request, in, socket)) {
                    return;
                }
                readBody(in, request);
                answer(request, socket.getOutputStream());
            }
        }

        private void answer(Request request, OutputStream out) throws IOException {
            String requestId = request.headers.get("coriandercrank-request-id");
            if (request.target.equals("/healthz")) {
                respond(out, 200, Map.of("Coriandercrank-Instance-Id", id), new byte[0]);
                return;
            }
            if (requestId == null) {
                respond(out, 400, Map.of("Coriandercrank-Not-Executed", "1"), new byte[0]);
                return;
            }
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Coriandercrank-Request-Id", requestId);
            String expected = request.headers.get("coriandercrank-expected-instance");
            if (expected != null && !expected.equals(id)) {
                headers.put("Coriandercrank-Instance-Id", id);
                respond(out, 421, headers, new byte[0]);
                return;
            }
            int key = -1;
            if (sharded) {
                key = Integer.parseInt(request.headers.getOrDefault("coriandercrank-shard-key", "-1"));
                synchronized (this) {
                    expire();
                    if (key < 0 || hold[key] == 0) {
                        headers.put("Coriandercrank-Not-Executed", "1");
                        respond(out, 421, headers, new byte[0]);
                        return;
                    }
                    working[key]++;
                }
            }
            runs.incrementAndGet();
            onRun.accept(requestId);
            log("run upstream=" + id + " request=" + requestId + (key < 0 ? "" : " key=" + key));
            sleep(workMs);
            if (key >= 0) {
                synchronized (this) {
                    working[key]--;
                }
            }
            headers.put("Coriandercrank-Response-Seal", "seal-" + requestId);
            respond(out, 200, headers, answerBody(requestId));
        }

        /** The whole body of the answer to a request. */
        byte[] answerBody(String requestId) {
            return Platform.answerBody(requestId, answerSize.applyAsInt(requestId));
        }

        private void expire() {
            if (holdUntilNanos - System.nanoTime() <= 0) {
                java.util.Arrays.fill(hold, 0);
            }
        }

        /** The ping that would follow the latest one, as it was sent before a crash and held up on its way. */
        byte[] nextPing() throws IOException {
            return JSON.writeValueAsBytes(latestPing.deepCopy().put("seq", seq + 1));
        }

        /** Waits until shortly after the next ping has been answered. */
        void awaitNextPing() {
            int before = seq;
            while (seq == before) {
                sleep(5);
            }
            sleep(50);
        }

        int seq() {
            return seq;
        }

        synchronized int keyCount() {
            expire();
            int count = 0;
            for (int key = 0; key < KEYS; key++) {
                count += hold[key] != 0 ? 1 : 0;
            }
            return count;
        }

        private void pings() {
            sleep(ThreadLocalRandom.current().nextInt(300));
            while (alive) {
                long waitMs = (long) (heartbeatS * 1000);
                try {
                    if (ping()) {
                        waitMs = 50;
                    }
                } catch (IOException e) {
                    log("ping upstream=" + id + " failed: " + e.getMessage());
                }
                sleep(waitMs);
            }
        }

        /** Sends one ping; returns whether the next one must follow soon, because keys were left out. */
        private boolean ping() throws IOException {
            ObjectNode body = JSON.createObjectNode();
            List<Object[]> reported;
            long sentNanos = System.nanoTime();
            synchronized (this) {
                expire();
                body.put("service", service).put("address", ip(host) + ":8301").put("zone", "za").put("version", "v1")
                        .put("slots", 12).put("state", "ready").put("cold_left_s", 0).put("seq", ++seq)
                        .put("born", born);
                if (sharded) {
                    rows(body.putArray("holds"));
                    reported = new ArrayList<>(freed);
                    ArrayNode list = body.putArray("freed");
                    reported.forEach(row -> list.addArray().add((int) row[0]).add((int) row[1]).add((String) row[2]));
                } else {
                    reported = List.of();
                }
            }
            latestPing = body;
            Response response = call(
                    ip(host), 8306,
                    request("POST", "/coriandercrank/instances/" + id + "/heartbeat",
                            Map.of("Content-Type", "application/json"), JSON.writeValueAsBytes(body)),
                    1_000);
            if (response.status / 100 != 2 || response.body.length > 4096 || !sharded) {
                return false;
            }
            JsonNode answer = JSON.readTree(response.body);
            if (System.getenv("PINGS") != null) {
                log("ping upstream=" + id + " seq=" + body.get("seq") + " rows=" + body.get("holds").size()
                        + " freed=" + body.get("freed").size() + " answer-rows=" + answer.path("holds").size() + " hold_s=" + answer.path("hold_s") + " fences=" + fences(body.get("holds")) + " -> " + fences(answer.path("holds")));
            }
            synchronized (this) {
                freed.removeAll(reported);
                return answer.path("holds").isArray() && adopt(answer, sentNanos);
            }
        }

        /** Adopts the rows of an answer; returns whether keys were left out. */
        private boolean adopt(JsonNode answer, long sentNanos) {
            expire();
            int[] target = new int[KEYS];
            for (JsonNode row : answer.get("holds")) {
                int from = row.get(0).asInt();
                int to = row.get(1).asInt();
                int fence = row.get(2).asInt();
                boolean stale = false;
                for (int key = from; key <= to; key++) {
                    stale |= highest[key] > fence;
                }
                for (int key = from; key <= to && !stale; key++) {
                    target[key] = fence;
                    highest[key] = fence;
                }
            }
            boolean leftOut = false;
            int releasedFrom = -1;
            for (int key = 0; key <= KEYS; key++) {
                boolean release = key < KEYS && hold[key] != 0 && target[key] == 0;
                if (release && working[key] > 0) {
                    target[key] = hold[key];
                    leftOut = true;
                    release = false;
                }
                if (release && releasedFrom < 0) {
                    releasedFrom = key;
                } else if (!release && releasedFrom >= 0) {
                    freed.add(new Object[] {releasedFrom, key - 1, newId()});
                    releasedFrom = -1;
                    leftOut = true;
                }
            }
            System.arraycopy(target, 0, hold, 0, KEYS);
            holdUntilNanos = sentNanos + (long) (answer.path("hold_s").asDouble() * 1e9);
            return leftOut;
        }

        private void rows(ArrayNode rows) {
            int from = 0;
            for (int key = 1; key <= KEYS; key++) {
                if (key == KEYS || hold[key] != hold[from]) {
                    if (hold[from] != 0) {
                        rows.addArray().add(from).add(key - 1).add(hold[from]);
                    }
                    from = key;
                }
            }
        }

        void crash() {
            alive = false;
            try {
                listener.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    static java.util.TreeSet<Integer> fences(JsonNode rows) {
        java.util.TreeSet<Integer> fences = new java.util.TreeSet<>();
        rows.forEach(row -> fences.add(row.get(2).asInt()));
        return fences;
    }

    /** An answer that shows the request to which it belongs in each of its lines. */
    static byte[] answerBody(String requestId, int bytes) {
        byte[] line = (requestId + "\n").getBytes(StandardCharsets.US_ASCII);
        byte[] body = new byte[bytes];
        for (int i = 0; i < bytes; i++) {
            body[i] = line[i % line.length];
        }
        return body;
    }

    // ---- the check of the keys

    boolean awaitAllHeld(String service, long timeoutMs) {
        long end = nowMs() + timeoutMs;
        while (nowMs() < end) {
            int held = 0;
            for (Upstream upstream : upstreams) {
                held += upstream.alive && upstream.service.equals(service) ? upstream.keyCount() : 0;
            }
            if (held >= KEYS) {
                return true;
            }
            sleep(100);
        }
        return false;
    }

    /** Records for some seconds how many keys each upstream holds. */
    void watchKeys(int seconds) {
        for (int second = 0; second < seconds; second++) {
            sleep(1_000);
            StringBuilder held = new StringBuilder("keys held by");
            for (Upstream upstream : upstreams) {
                if (upstream.alive && upstream.sharded) {
                    held.append(" ").append(upstream.id).append("=").append(upstream.keyCount());
                }
            }
            log(held.toString());
        }
    }

    /** Records the verdict on the rule OWNER; returns the exit code. */
    int judgeHolders(HolderCheck check, Traffic traffic) {
        log("requests sent=" + traffic.sent + " served=" + traffic.served + " failed=" + traffic.failed);
        log("OWNER keys held by two upstreams for over half a second: " + check.keysOverHalfSecond + ", longest "
                + check.longestMs + " ms");
        System.out.println("keys with two holders for over 0.5 s: " + check.keysOverHalfSecond + ", longest "
                + check.longestMs + " ms; served " + traffic.served + " of " + traffic.sent);
        return check.keysOverHalfSecond > 0 ? 1 : 0;
    }

    /** Watches the keys of two upstreams that are held by both; the longest time for a key, in milliseconds. */
    final class HolderCheck {
        volatile long longestMs;
        volatile int keysOverHalfSecond;

        HolderCheck(String service) {
            thread("holders", () -> {
                long[] since = new long[KEYS];
                boolean[] counted = new boolean[KEYS];
                while (true) {
                    int[] holders = new int[KEYS];
                    for (Upstream upstream : upstreams) {
                        if (upstream.alive && upstream.service.equals(service)) {
                            synchronized (upstream) {
                                upstream.expire();
                                for (int key = 0; key < KEYS; key++) {
                                    holders[key] += upstream.hold[key] != 0 ? 1 : 0;
                                }
                            }
                        }
                    }
                    long now = nowMs();
                    for (int key = 0; key < KEYS; key++) {
                        if (holders[key] < 2) {
                            since[key] = 0;
                            continue;
                        }
                        if (since[key] == 0) {
                            since[key] = now;
                            continue;
                        }
                        longestMs = Math.max(longestMs, now - since[key]);
                        if (now - since[key] > 500 && !counted[key]) {
                            counted[key] = true;
                            keysOverHalfSecond++;
                            if (keysOverHalfSecond <= 5) {
                                log("two-holders key=" + key + " for-ms=" + (now - since[key]));
                            }
                        }
                    }
                    sleep(20);
                }
            });
        }
    }
}
