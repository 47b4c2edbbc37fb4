import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three of five upstreams answer one request in twenty before they have read its long body, without a length, and the
 * connection is reset in the middle of the answer. Without the disruption the same answers end with their connection.
 */
public final class EarlyReset {
    private static final int HOSTS = 5;
    private static final int FAULTY_HOSTS = 3;
    private static final int ONE_IN = 20;
    private static final int CLIENTS = 5;
    private static final int REQUESTS_PER_CLIENT = 60;
    private static final int BODY_BYTES = 6_000_000;
    private static final int ANSWER_BYTES = 5_000;
    private static final long PAUSE_BEFORE_RESET_MS = 300;

    public static void main(String[] arguments) throws Exception {
        Platform platform = new Platform(Path.of(arguments[0]), Path.of(arguments[1]), Path.of(arguments[2]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        ObjectNode spec = Platform.JSON.createObjectNode();
        spec.put("version", "00000007");
        Platform.route(spec.putObject("routes"), "r-mixes", "mixes.example", "/mixes/", "non_idempotent", "mixes");
        Platform.service(spec.putObject("services"), "mixes", false);
        Platform.limits(spec);
        platform.store.putConfiguration(spec);
        AtomicInteger resets = new AtomicInteger();
        for (int host = 1; host <= HOSTS; host++) {
            platform.startDaemon(host, "mixes", true);
            Platform.Upstream upstream =
                    platform.new Upstream(host, "mixes", "i-" + platform.newId().substring(0, 8), false);
            boolean faulty = trouble && host <= FAULTY_HOSTS;
            AtomicInteger requests = new AtomicInteger();
            upstream.behaviour = (self, request, in, socket) -> {
                boolean reset = faulty && requests.incrementAndGet() % ONE_IN == 0;
                return answer(platform, self, request, in, socket, reset, resets);
            };
        }
        for (int host = 1; host <= HOSTS; host++) {
            if (!platform.awaitReady(host, 30_000)) {
                platform.log("daemon " + host + " is not ready");
                System.exit(2);
            }
        }
        Platform.sleep(6_000);
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int client = 0; client < CLIENTS; client++) {
            int host = 1 + client % HOSTS;
            Platform.thread("client-" + client, () -> {
                for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
                    send(platform, host, broken, whole, other);
                }
                done.countDown();
            });
        }
        done.await();
        String result = "answers reset on the way: " + resets + "; successes with a part of the body: " + broken
                + ", with the whole body: " + whole + ", other answers: " + other;
        System.out.println(result);
        platform.log("MIXED " + result);
        boolean couldRun = whole.get() > 0 && (!trouble || resets.get() > 0);
        System.exit(!couldRun ? 2 : broken.get() > 0 ? 1 : 0);
    }

    private static boolean answer(
            Platform platform,
            Platform.Upstream upstream,
            Platform.Request request,
            InputStream in,
            Socket socket,
            boolean reset,
            AtomicInteger resets)
            throws IOException {
        String id = request.headers.get("coriandercrank-request-id");
        if (id == null) {
            return false;
        }
        if (!reset) {
            Platform.readBody(in, request);
        }
        platform.log("run upstream=" + upstream.id + " request=" + id);
        byte[] body = Platform.answerBody(id, ANSWER_BYTES);
        OutputStream out = socket.getOutputStream();
        out.write(("HTTP/1.1 200 OK\r\nCoriandercrank-Request-Id: " + id + "\r\nCoriandercrank-Response-Seal: seal-" + id
                        + "\r\nConnection: close\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        out.write(reset ? Arrays.copyOf(body, ANSWER_BYTES / 2) : body);
        out.flush();
        if (reset) {
            Platform.sleep(PAUSE_BEFORE_RESET_MS);
            // Closing with a linger time of 0 resets the connection.
            socket.setSoLinger(true, 0);
            platform.log("reset upstream=" + upstream.id + " request=" + id + " sent=" + ANSWER_BYTES / 2 + " of "
                    + ANSWER_BYTES);
            resets.incrementAndGet();
        }
        socket.close();
        return true;
    }

    private static void send(
            Platform platform, int host, AtomicInteger broken, AtomicInteger whole, AtomicInteger other) {
        String id = platform.newId();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "mixes.example");
        headers.put("Coriandercrank-Request-Id", id);
        headers.put("Coriandercrank-Request-Deadline", "8000");
        platform.log("sent request=" + id + " daemon=" + host + " bytes=" + BODY_BYTES);
        try {
            Platform.Response response = Platform.call(
                    platform.ip(host), 8304,
                    Platform.request("POST", "/mixes/2f", headers, new byte[BODY_BYTES]), 9_000);
            boolean success = response.status / 100 == 2;
            boolean isWhole = Arrays.equals(response.body, Platform.answerBody(id, ANSWER_BYTES));
            platform.log("answered request=" + id + " status=" + response.status + " seal="
                    + response.headers.get("coriandercrank-response-seal") + " bytes=" + response.body.length
                    + " complete=" + response.complete + (success ? " whole=" + isWhole : ""));
            // An answer that ends early, which the client can see, is no success.
            (success && response.complete ? isWhole ? whole : broken : other).incrementAndGet();
        } catch (IOException e) {
            platform.log("answered request=" + id + " failure=" + e.getMessage());
            other.incrementAndGet();
        }
    }
}
