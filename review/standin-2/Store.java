import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's metadata store: objects by kind and name, one revision counter, conditional writes, lists and
 * watches with the whole history kept. Every answer is linearizable. One lock guards the state.
 */
final class Store implements AutoCloseable {
    private static final String PREFIX = "/coriandercrank/objects/";

    private record Change(long revision, String kind, boolean removed, ObjectNode object) {}

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 100;

    Store(String ip, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, port), 1024);
        server.setExecutor(threads);
        server.createContext(PREFIX, this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    /** Writes an object as the operator does; the return is the confirmation. */
    synchronized void putByOperator(String kind, String name, ObjectNode spec) {
        ObjectNode known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        save(kind, name, spec, null, known);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String[] path = exchange.getRequestURI().getPath().substring(PREFIX.length()).split("/");
            Map<String, String> query = Json.query(exchange.getRequestURI().getRawQuery());
            JsonNode json = body.length == 0 ? Json.object() : Json.read(body);
            switch (exchange.getRequestMethod()) {
                case "GET" -> get(exchange, path, query);
                case "POST" -> create(exchange, path[0], json);
                case "PUT" -> replace(exchange, path, json);
                case "DELETE" -> delete(exchange, path, query);
                default -> Json.respond(exchange, 405, Json.object());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void get(HttpExchange exchange, String[] path, Map<String, String> query)
            throws IOException, InterruptedException {
        if (path.length > 1) {
            ObjectNode object;
            synchronized (this) {
                object = kinds.getOrDefault(path[0], new TreeMap<>()).get(path[1]);
            }
            Json.respond(exchange, object == null ? 404 : 200, object == null ? Json.object() : object);
        } else if (query.containsKey("watch")) {
            Json.respond(exchange, 200, watch(path[0], query));
        } else {
            ObjectNode answer = Json.object();
            ArrayNode items = answer.putArray("items");
            synchronized (this) {
                kinds.getOrDefault(path[0], new TreeMap<>())
                        .tailMap(query.getOrDefault("after", ""), !query.containsKey("after"))
                        .values()
                        .forEach(items::add);
                answer.put("more", false).put("current_rev", revision);
            }
            Json.respond(exchange, 200, answer);
        }
    }

    private synchronized ObjectNode watch(String kind, Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("watch"));
        long endNanos = System.nanoTime() + 1_000_000L * Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            ObjectNode answer = Json.object();
            ArrayNode events = answer.putArray("events");
            for (Change change : history) {
                if (change.revision() > after && change.kind().equals(kind)) {
                    events.addObject().put("removed", change.removed()).set("object", change.object());
                }
            }
            answer.put("current_rev", revision);
            long remainingMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || remainingMs <= 0) {
                return answer;
            }
            wait(Math.min(remainingMs, 100));
        }
    }

    private synchronized void create(HttpExchange exchange, String kind, JsonNode json) throws IOException {
        String name = json.path("metadata").path("name").asText();
        ObjectNode known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        Json.respond(
                exchange,
                known != null ? 409 : 201,
                known != null ? known : save(kind, name, json.path("spec"), json.path("metadata"), null));
    }

    private synchronized void replace(HttpExchange exchange, String[] path, JsonNode json) throws IOException {
        ObjectNode known = kinds.getOrDefault(path[0], new TreeMap<>()).get(path[1]);
        JsonNode expected = json.path("metadata").path("revision");
        if (known == null) {
            Json.respond(exchange, 404, Json.object());
        } else if (expected.isNumber() && expected.longValue() != revisionOf(known)) {
            Json.respond(exchange, 409, known);
        } else {
            Json.respond(exchange, 200, save(path[0], path[1], json.path("spec"), json.path("metadata"), known));
        }
    }

    private synchronized void delete(HttpExchange exchange, String[] path, Map<String, String> query)
            throws IOException {
        ObjectNode known = kinds.getOrDefault(path[0], new TreeMap<>()).get(path[1]);
        if (known == null) {
            Json.respond(exchange, 404, Json.object());
        } else if (query.containsKey("revision") && Long.parseLong(query.get("revision")) != revisionOf(known)) {
            Json.respond(exchange, 409, known);
        } else {
            kinds.get(path[0]).remove(path[1]);
            history.add(new Change(++revision, path[0], true, known));
            notifyAll();
            Json.respond(exchange, 200, known);
        }
    }

    private static long revisionOf(ObjectNode object) {
        return object.path("metadata").path("revision").longValue();
    }

    private ObjectNode save(String kind, String name, JsonNode spec, JsonNode metadata, ObjectNode known) {
        if (known != null && known.path("spec").equals(spec)) {
            return known;
        }
        revision++;
        ObjectNode object = Json.object();
        ObjectNode stored = object.putObject("metadata").put("name", name).put("revision", revision);
        stored.put("created", known == null ? revision : known.path("metadata").path("created").longValue());
        stored.putArray("finalizers");
        stored.put("deletion_pending", false);
        object.set("spec", spec);
        object.set("status", known == null ? null : known.get("status"));
        kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, object);
        history.add(new Change(revision, kind, false, object));
        notifyAll();
        return object;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
