import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of an upstream on a sidecar machine: takes its keys from the answers to its pings, runs requests in its slots
 * and refuses what it does not hold. All state of the keys is guarded by the object's lock.
 */
class Upstream implements AutoCloseable {
    static final int KEYS = 65_536;
    private static final int NOT_HELD = -1;
    private static final int PING_TIMEOUT_MS = 1_000;

    /** What the upstream does with a request; the usual work by default. */
    interface Work {
        /** Returns the body of the answer. */
        byte[] run(Http.Message request) throws InterruptedException;
    }

    final String id;
    final String service;
    final String address;
    final String admin;
    final String zone;
    final int slots;
    final boolean sharded;
    private final double heartbeatS;
    private final Recorder record;
    private final ServerSocket listener;
    private final Semaphore slotsLeft;
    private final long bornMs = System.currentTimeMillis();
    private final List<Socket> connections = new ArrayList<>();
    private final int[] held = new int[KEYS];
    private final int[] seen = new int[KEYS];
    private final int[] working = new int[KEYS];
    private final boolean[] releasing = new boolean[KEYS];
    private final List<Object[]> freed = new ArrayList<>();
    private final Random random = new Random();
    private long leaseUntilNanos;
    private long sequence;
    volatile String state = "ready";
    volatile boolean pinging = true;
    volatile Work work = request -> {
        Thread.sleep(20);
        return "the upstream's answer".getBytes(java.nio.charset.StandardCharsets.UTF_8);
    };
    private volatile boolean closed;

    /** Times at which each request id began to run here. */
    static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();

    final AtomicInteger runs = new AtomicInteger();
    volatile long lastRunNanos;

    Upstream(
            String id,
            String service,
            String address,
            String admin,
            String zone,
            int slots,
            boolean sharded,
            double heartbeatS,
            Recorder record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.address = address;
        this.admin = admin;
        this.zone = zone;
        this.slots = slots;
        this.sharded = sharded;
        this.heartbeatS = heartbeatS;
        this.record = record;
        this.slotsLeft = new Semaphore(slots);
        Arrays.fill(held, NOT_HELD);
        Arrays.fill(seen, NOT_HELD);
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        int colon = address.indexOf(':');
        listener.bind(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                256);
        start(this::accept);
        start(this::ping);
    }

    long bornMs() {
        return bornMs;
    }

    static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                synchronized (connections) {
                    connections.add(socket);
                }
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
                answer(request, socket.getOutputStream());
            }
        } catch (IOException e) {
            // The caller has closed the connection, or this upstream ends.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            synchronized (connections) {
                connections.remove(socket);
            }
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException, InterruptedException {
        String requestId = request.header("coriandercrank-request-id");
        String expected = request.header("coriandercrank-expected-instance");
        int key = sharded ? Integer.parseInt(request.header("coriandercrank-shard-key")) : 0;
        if (!expected.isEmpty() && !expected.equals(id)) {
            refuse(out, 421, requestId);
        } else if (!slotsLeft.tryAcquire()) {
            refuse(out, 503, requestId);
        } else {
            try {
                if (!begin(key)) {
                    refuse(out, 421, requestId);
                    return;
                }
                try {
                    RUNS.computeIfAbsent(requestId, k -> new AtomicInteger()).incrementAndGet();
                    runs.incrementAndGet();
                    lastRunNanos = System.nanoTime();
                    record.add("run %s at %s key %d %s", requestId, id, key, request.startLine());
                    beforeAnswer(request, out);
                    byte[] body = work.run(request);
                    write(out, request, body);
                } finally {
                    end(key);
                }
            } finally {
                slotsLeft.release();
            }
        }
    }

    /** Called when a request has begun to run; a faulty upstream may write other bytes here. */
    void beforeAnswer(Http.Message request, OutputStream out) throws IOException, InterruptedException {}

    /** Writes the complete answer. */
    void write(OutputStream out, Http.Message request, byte[] body) throws IOException {
        String requestId = request.header("coriandercrank-request-id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Coriandercrank-Request-Id", requestId);
        headers.put("Coriandercrank-Response-Seal", seal(requestId));
        headers.put("Content-Length", Integer.toString(body.length));
        out.write(Http.head("HTTP/1.1 200 OK", headers));
        out.write(body);
        out.flush();
    }

    static String seal(String requestId) {
        return "seal-of-" + requestId;
    }

    private void refuse(OutputStream out, int status, String requestId) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Coriandercrank-Request-Id", requestId);
        headers.put("Coriandercrank-Not-Executed", "1");
        headers.put("Coriandercrank-Instance-Id", id);
        headers.put("Content-Length", "0");
        out.write(Http.head("HTTP/1.1 " + status + " Refused", headers));
        out.flush();
        record.add("refused %s at %s status %d", requestId, id, status);
    }

    private synchronized boolean begin(int key) {
        if (sharded && !holds(key)) {
            return false;
        }
        working[key]++;
        return true;
    }

    private synchronized void end(int key) {
        working[key]--;
        notifyAll();
    }

    /** Whether the upstream is up and holds a key. */
    synchronized boolean holds(int key) {
        return !closed && held[key] != NOT_HELD && !releasing[key] && System.nanoTime() - leaseUntilNanos < 0;
    }

    synchronized int fenceOf(int key) {
        return held[key];
    }

    /** Number of keys that this upstream and another one hold now. */
    int sharedKeys(Upstream other) {
        boolean[] mine = heldKeys();
        boolean[] others = other.heldKeys();
        int shared = 0;
        for (int key = 0; key < KEYS; key++) {
            shared += mine[key] && others[key] ? 1 : 0;
        }
        return shared;
    }

    int heldCount() {
        int count = 0;
        for (boolean heldKey : heldKeys()) {
            count += heldKey ? 1 : 0;
        }
        return count;
    }

    private synchronized boolean[] heldKeys() {
        boolean[] keys = new boolean[KEYS];
        if (!closed && System.nanoTime() - leaseUntilNanos < 0) {
            for (int key = 0; key < KEYS; key++) {
                keys[key] = held[key] != NOT_HELD && !releasing[key];
            }
        }
        return keys;
    }

    private void ping() {
        while (!closed) {
            boolean again = false;
            try {
                if (pinging) {
                    again = pingOnce();
                }
            } catch (IOException e) {
                if (!closed) {
                    record.add("ping of %s failed: %s", id, e.getMessage());
                }
            }
            try {
                Thread.sleep(again ? 90 : (long) (heartbeatS * 1_000));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends a ping and adopts what the answer says; returns whether another one must follow soon. */
    private boolean pingOnce() throws IOException {
        long sentNanos = System.nanoTime();
        ObjectNode ping = body();
        int reported = ping.path("freed").size();
        Http.Message answer = Http.exchange(
                admin,
                "POST",
                "/coriandercrank/instances/" + id + "/heartbeat",
                Map.of("Content-Type", "application/json"),
                Json.write(ping),
                PING_TIMEOUT_MS);
        if (answer.status() / 100 != 2 || answer.body().length > 4_096) {
            return false;
        }
        synchronized (this) {
            freed.subList(0, reported).clear();
            JsonNode json = Json.read(answer.body());
            if (json.has("holds")) {
                adopt(json.path("holds"), sentNanos + (long) (json.path("hold_s").asDouble() * 1e9));
            }
            return releaseIdle();
        }
    }

    /** The body of the next ping. */
    synchronized ObjectNode body() {
        dropExpired();
        ObjectNode ping = Json.object();
        ping.put("service", service).put("address", address).put("zone", zone).put("version", "v1");
        ping.put("slots", slots).put("state", state).put("cold_left_s", 0).put("seq", ++sequence).put("born", bornMs);
        if (sharded) {
            ArrayNode holds = ping.putArray("holds");
            for (int from = 0; from < KEYS; ) {
                int to = from;
                while (to + 1 < KEYS && held[to + 1] == held[from]) {
                    to++;
                }
                if (held[from] != NOT_HELD) {
                    holds.addArray().add(from).add(to).add(held[from]);
                }
                from = to + 1;
            }
            ArrayNode rows = ping.putArray("freed");
            for (Object[] row : freed) {
                rows.addArray().add((Integer) row[0]).add((Integer) row[1]).add((String) row[2]);
            }
        }
        return ping;
    }

    private void dropExpired() {
        if (System.nanoTime() - leaseUntilNanos >= 0) {
            for (int key = 0; key < KEYS; key++) {
                held[key] = working[key] > 0 ? held[key] : NOT_HELD;
                releasing[key] = held[key] != NOT_HELD;
            }
        }
    }

    private void adopt(JsonNode rows, long newLeaseUntilNanos) {
        boolean[] granted = new boolean[KEYS];
        int taken = 0;
        for (JsonNode row : rows) {
            int from = row.get(0).intValue();
            int to = row.get(1).intValue();
            int fence = row.get(2).intValue();
            boolean accepted = true;
            for (int key = from; key <= to; key++) {
                accepted &= seen[key] <= fence;
            }
            if (!accepted) {
                record.add("%s does not accept the row %s", id, row);
                continue;
            }
            for (int key = from; key <= to; key++) {
                taken += held[key] == NOT_HELD ? 1 : 0;
                granted[key] = true;
                held[key] = fence;
                seen[key] = fence;
                releasing[key] = false;
            }
        }
        int dropped = 0;
        for (int key = 0; key < KEYS; key++) {
            if (held[key] != NOT_HELD && !granted[key] && !releasing[key]) {
                releasing[key] = true;
                dropped++;
            }
        }
        leaseUntilNanos = newLeaseUntilNanos;
        if (taken + dropped > 0) {
            record.add("%s takes %d keys and releases %d, rows %d", id, taken, dropped, rows.size());
        }
    }

    /** Releases the keys that are to be released and have no work; returns whether others remain or were released. */
    private boolean releaseIdle() {
        boolean any = false;
        for (int key = 0; key < KEYS; ) {
            int to = key;
            if (releasing[key] && held[key] != NOT_HELD && working[key] == 0) {
                while (to + 1 < KEYS && releasing[to + 1] && held[to + 1] != NOT_HELD && working[to + 1] == 0) {
                    to++;
                }
                for (int released = key; released <= to; released++) {
                    held[released] = NOT_HELD;
                    releasing[released] = false;
                }
                freed.add(new Object[] {key, to, String.format("%016x", random.nextLong())});
                any = true;
            } else {
                any |= releasing[key];
            }
            key = to + 1;
        }
        return any;
    }

    /** Ends as a crash does: all connections close and the pings stop. */
    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        List<Socket> open;
        synchronized (connections) {
            open = List.copyOf(connections);
        }
        for (Socket socket : open) {
            socket.close();
        }
    }
}
