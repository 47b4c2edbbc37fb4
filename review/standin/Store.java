import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store as PROTOCOL.md describes it. Each daemon has an address of its own for it. */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/coriandercrank/objects/";

    private record Event(long revision, String kind, ObjectNode object, boolean removed) {}

    private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private long revision = 10;

    /** Whether the store turns the machine with this number away (503, nothing is done). */
    final boolean[] turnedAway = new boolean[64];

    /** Share of the writes that are done and not answered. */
    volatile double lost;

    /** Whether these writes are done 1 to 6 s later, if their condition still holds. */
    volatile boolean late;

    void listen(int machine, InetSocketAddress address) throws IOException {
        HttpServer server = HttpServer.create(address, 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            try {
                handle(machine, exchange);
            } catch (RuntimeException | InterruptedException e) {
                answer(exchange, 500, null);
            }
        });
        server.start();
        servers.add(server);
    }

    void close() {
        servers.forEach(server -> server.stop(0));
    }

    synchronized void put(String kind, String name, JsonNode spec) {
        ObjectNode existing = kind(kind).get(name);
        write(kind, name, spec, existing);
    }

    synchronized JsonNode get(String kind, String name) {
        return kind(kind).get(name);
    }

    synchronized List<ObjectNode> list(String kind) {
        return List.copyOf(kind(kind).values());
    }

    private TreeMap<String, ObjectNode> kind(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private ObjectNode write(String kind, String name, JsonNode spec, ObjectNode existing) {
        if (existing != null && existing.path("spec").equals(spec)) {
            return existing;
        }
        revision++;
        ObjectNode object = JSON.createObjectNode();
        ObjectNode metadata = object.putObject("metadata");
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put("created", existing == null ? revision : existing.path("metadata").path("created").asLong());
        metadata.putArray("finalizers");
        metadata.put("deletion_pending", false);
        object.set("spec", spec);
        object.putNull("status");
        kind(kind).put(name, object);
        history.add(new Event(revision, kind, object, false));
        notifyAll();
        return object;
    }

    private void handle(int machine, HttpExchange exchange) throws IOException, InterruptedException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (turnedAway[machine]) {
            answer(exchange, 503, null);
            return;
        }
        String[] path = exchange.getRequestURI().getPath().substring(PATH.length()).split("/");
        Map<String, String> query = query(exchange);
        if (exchange.getRequestMethod().equals("GET") && query.containsKey("watch")) {
            ObjectNode changes =
                    watch(path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
            answer(exchange, turnedAway[machine] ? 503 : 200, turnedAway[machine] ? null : changes);
            return;
        }
        boolean isLost = !exchange.getRequestMethod().equals("GET") && Math.random() < lost;
        if (isLost && late) {
            Thread.sleep(1_000 + (long) (Math.random() * 5_000));
        }
        int status;
        JsonNode result;
        synchronized (this) {
            String name = path.length > 1 ? path[1] : null;
            ObjectNode existing = name == null ? null : kind(path[0]).get(name);
            switch (exchange.getRequestMethod()) {
                case "GET" -> {
                    result = name == null ? page(path[0], query.getOrDefault("after", "")) : existing;
                    status = result == null ? 404 : 200;
                }
                case "POST", "PUT" -> {
                    boolean create = exchange.getRequestMethod().equals("POST");
                    JsonNode root = JSON.readTree(body);
                    String target = create ? root.path("metadata").path("name").asText() : name;
                    existing = kind(path[0]).get(target);
                    JsonNode expected = root.path("metadata").path("revision");
                    if (create ? existing != null : conflicts(existing, expected)) {
                        status = existing == null ? 404 : 409;
                        result = existing;
                    } else {
                        status = 200;
                        result = write(path[0], target, root.path("spec"), existing);
                    }
                }
                case "DELETE" -> {
                    JsonNode expected = query.containsKey("revision")
                            ? JSON.getNodeFactory().numberNode(Long.parseLong(query.get("revision")))
                            : JSON.missingNode();
                    if (conflicts(existing, expected)) {
                        status = existing == null ? 404 : 409;
                        result = existing;
                    } else {
                        status = 200;
                        result = existing;
                        revision++;
                        kind(path[0]).remove(name);
                        history.add(new Event(revision, path[0], existing, true));
                        notifyAll();
                    }
                }
                default -> {
                    status = 400;
                    result = null;
                }
            }
        }
        if (isLost) {
            exchange.close();
            return;
        }
        answer(exchange, status, result);
    }

    private static boolean conflicts(ObjectNode existing, JsonNode expected) {
        return existing == null
                || (expected.isNumber()
                        && expected.asLong() != existing.path("metadata").path("revision").asLong());
    }

    private ObjectNode page(String kind, String after) {
        ObjectNode page = JSON.createObjectNode();
        ArrayNode items = page.putArray("items");
        kind(kind).tailMap(after, after.isEmpty()).values().forEach(items::add);
        page.put("more", false);
        page.put("current_rev", revision);
        return page;
    }

    private synchronized ObjectNode watch(String kind, long after, long waitMs) throws InterruptedException {
        long endMs = System.nanoTime() / 1_000_000 + waitMs;
        while (true) {
            ObjectNode result = JSON.createObjectNode();
            ArrayNode events = result.putArray("events");
            for (Event event : history) {
                if (event.revision > after && event.kind.equals(kind)) {
                    ObjectNode node = events.addObject();
                    node.put("removed", event.removed);
                    node.set("object", event.object);
                }
            }
            result.put("current_rev", revision);
            long leftMs = endMs - System.nanoTime() / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                return result;
            }
            wait(leftMs);
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                String[] pair = part.split("=", 2);
                result.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    private static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = body == null ? new byte[0] : JSON.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }
}
