import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Helpers for JSON bodies. Stateless. */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static JsonNode read(byte[] body) throws IOException {
        return MAPPER.readTree(body);
    }

    static byte[] write(JsonNode node) throws IOException {
        return MAPPER.writeValueAsBytes(node);
    }

    static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            values.put(equals < 0 ? part : part.substring(0, equals), equals < 0 ? "" : part.substring(equals + 1));
        }
        return values;
    }

    static void respond(HttpExchange exchange, int status, JsonNode node) throws IOException {
        byte[] body = write(node);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
    }
}
