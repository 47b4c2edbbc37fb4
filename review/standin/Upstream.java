import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/** A sound application upstream: it pings its daemon, holds the keys that it is given and runs requests on them. */
final class Upstream {
    static final int KEYS = 65_536;

    final int number;
    final String id;
    private final String service;
    private final InetSocketAddress address;
    private final InetSocketAddress admin;
    private final long heartbeatMs;
    private final long workMs;
    private final Record record;
    private final KeyLedger ledger;
    private final long bornMs = System.currentTimeMillis();
    private final ServerSocket listener;

    /** Guarded by this. */
    private final long[] heldFence = new long[KEYS];

    private final long[] highestFence = new long[KEYS];
    private final int[] running = new int[KEYS];
    private final List<long[]> freed = new ArrayList<>();
    private long holdUntilNanos;
    private long sequence;
    private volatile boolean closed;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** Pings are not sent before this time; a ping may be late. */
    volatile long pingNotBeforeNanos = System.nanoTime();

    /** Share of the requests that are run and never answered. */
    volatile double lostAnswers;

    final AtomicInteger requestsRun = new AtomicInteger();
    final AtomicInteger answeredPings = new AtomicInteger();

    Upstream(
            int number,
            String service,
            InetSocketAddress address,
            InetSocketAddress admin,
            long heartbeatMs,
            long workMs,
            Record record,
            KeyLedger ledger)
            throws IOException {
        this.number = number;
        this.id = "i-" + number;
        this.service = service;
        this.address = address;
        this.admin = admin;
        this.heartbeatMs = heartbeatMs;
        this.workMs = workMs;
        this.record = record;
        this.ledger = ledger;
        listener = new ServerSocket(address.getPort(), 128, address.getAddress());
        thread(this::accept);
        thread(this::pingLoop);
        thread(this::expireLoop);
    }

    static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Ends without notice. */
    void close() {
        closed = true;
        try {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            record.line("close: " + e);
        }
        synchronized (this) {
            long now = System.nanoTime();
            for (int key = 0; key < KEYS; key++) {
                if (heldFence[key] != 0) {
                    heldFence[key] = 0;
                    ledger.given(number, key, now);
                }
            }
        }
    }

    private void pingLoop() {
        while (!closed) {
            long waitMs = heartbeatMs;
            try {
                if (System.nanoTime() - pingNotBeforeNanos < 0) {
                    Thread.sleep(5);
                    continue;
                }
                boolean releasing = ping();
                waitMs = releasing ? 90 : heartbeatMs;
            } catch (IOException | RuntimeException e) {
                waitMs = 200;
            } catch (InterruptedException e) {
                return;
            }
            sleep(waitMs);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a ping and adopts its answer; returns whether a release is still to be confirmed. */
    private boolean ping() throws IOException, InterruptedException {
        ObjectNode body = Store.JSON.createObjectNode();
        List<long[]> reportedFreed;
        synchronized (this) {
            body.put("service", service);
            body.put("address", address.getAddress().getHostAddress() + ":" + address.getPort());
            body.put("zone", "z");
            body.put("version", "v1");
            body.put("slots", 18);
            body.put("state", "ready");
            body.put("cold_left_s", 0);
            body.put("seq", ++sequence);
            body.put("born", bornMs);
            ArrayNode holds = body.putArray("holds");
            for (int first = 0; first < KEYS; ) {
                long fence = heldFence[first];
                int last = first;
                while (last + 1 < KEYS && heldFence[last + 1] == fence) {
                    last++;
                }
                if (fence != 0) {
                    holds.addArray().add(first).add(last).add(fence);
                }
                first = last + 1;
            }
            reportedFreed = List.copyOf(freed);
            ArrayNode freedRows = body.putArray("freed");
            for (long[] row : reportedFreed) {
                freedRows.addArray().add(row[0]).add(row[1]).add(String.format("%016x", row[2]));
            }
        }
        long sentNanos = System.nanoTime();
        byte[] bytes = Store.JSON.writeValueAsBytes(body);
        JsonNode answer;
        try (Socket socket = new Socket()) {
            socket.connect(admin, 1_000);
            socket.setSoTimeout(1_000);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /coriandercrank/instances/" + id + "/heartbeat HTTP/1.1\r\nHost: admin\r\n"
                            + "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.flush();
            Http.Message message = Http.read(new BufferedInputStream(socket.getInputStream()));
            if (message == null || message.status() / 100 != 2 || message.body().length > 4_096) {
                return false;
            }
            answer = Store.JSON.readTree(message.body());
        }
        answeredPings.incrementAndGet();
        synchronized (this) {
            freed.removeAll(reportedFreed);
            return !closed && answer.has("holds") && adopt(answer, sentNanos);
        }
    }

    private boolean adopt(JsonNode answer, long sentNanos) {
        boolean[] granted = new boolean[KEYS];
        long now = System.nanoTime();
        for (JsonNode row : answer.path("holds")) {
            int first = row.path(0).asInt();
            int last = row.path(1).asInt();
            long fence = row.path(2).asLong();
            boolean accepted = true;
            for (int key = first; key <= last; key++) {
                accepted &= highestFence[key] <= fence;
            }
            for (int key = first; accepted && key <= last; key++) {
                granted[key] = true;
                highestFence[key] = fence;
                if (heldFence[key] == 0) {
                    ledger.taken(number, key, fence, now);
                }
                heldFence[key] = fence;
            }
        }
        holdUntilNanos = sentNanos + (long) (answer.path("hold_s").asDouble() * 1e9);
        boolean releasing = false;
        int firstFreed = -1;
        for (int key = 0; key <= KEYS; key++) {
            boolean free = key < KEYS && heldFence[key] != 0 && !granted[key];
            if (free && running[key] > 0) {
                releasing = true;
                free = false;
            }
            if (free) {
                heldFence[key] = 0;
                ledger.given(number, key, now);
                releasing = true;
                firstFreed = firstFreed < 0 ? key : firstFreed;
            } else if (firstFreed >= 0) {
                freed.add(new long[] {firstFreed, key - 1, System.nanoTime()});
                firstFreed = -1;
            }
        }
        return releasing;
    }

    private void expireLoop() {
        while (!closed) {
            sleep(5);
            synchronized (this) {
                long now = System.nanoTime();
                if (now - holdUntilNanos >= 0) {
                    for (int key = 0; key < KEYS; key++) {
                        if (heldFence[key] != 0) {
                            heldFence[key] = 0;
                            ledger.given(number, key, now);
                        }
                    }
                }
            }
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                thread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        sockets.add(socket);
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                String answer = answer(request, () -> isClosedByPeer(socket, in));
                if (answer.isEmpty()) {
                    return;
                }
                out.write(answer.getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
        } catch (IOException | RuntimeException e) {
            // The daemon closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Whether the daemon has closed a connection on which it waits for an answer; takes some milliseconds. */
    private static boolean isClosedByPeer(Socket socket, BufferedInputStream in) {
        try {
            socket.setSoTimeout(10);
            in.mark(1);
            int next = in.read();
            in.reset();
            return next < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        } finally {
            try {
                socket.setSoTimeout(0);
            } catch (IOException e) {
                // The next read fails.
            }
        }
    }

    /** Runs a request; returns its answer, or an empty text if it was dropped because its connection closed. */
    private String answer(Http.Message request, BooleanSupplier isClosed) {
        String requestId = request.header("coriandercrank-request-id");
        String common = "Coriandercrank-Request-Id: " + requestId + "\r\nCoriandercrank-Instance-Id: " + id + "\r\n";
        String expected = request.header("coriandercrank-expected-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            return "HTTP/1.1 421 Misdirected Request\r\n" + common + "Content-Length: 0\r\n\r\n";
        }
        String keyText = request.header("coriandercrank-shard-key");
        int key = keyText.isEmpty() ? -1 : Integer.parseInt(keyText);
        if (key >= 0) {
            synchronized (this) {
                if (heldFence[key] == 0) {
                    return "HTTP/1.1 421 Misdirected Request\r\n" + common
                            + "Coriandercrank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                }
                running[key]++;
                ledger.begun(number, key, requestId);
            }
        }
        if (closed) {
            return "";
        }
        requestsRun.incrementAndGet();
        record.run(id, request.startLine(), requestId, key, request.body().length);
        boolean lost = Math.random() < lostAnswers;
        long doneNanos = System.nanoTime() + workMs * 1_000_000;
        boolean dropped = false;
        while (!dropped && !closed && (lost || System.nanoTime() - doneNanos < 0)) {
            dropped = isClosed.getAsBoolean();
        }
        record.line("end upstream=" + id + " request=" + requestId + (dropped ? " dropped" : " done"));
        boolean stillHeld = true;
        if (key >= 0) {
            synchronized (this) {
                running[key]--;
                stillHeld = heldFence[key] != 0;
            }
        }
        String text = stillHeld ? id + " ran " + requestId : "the lease ended";
        if (dropped) {
            return "";
        }
        return "HTTP/1.1 " + (stillHeld ? "200 OK" : "500 Lease Ended") + "\r\n" + common
                + "Coriandercrank-Response-Seal: " + id + "." + requestId + "\r\nContent-Length: " + text.length()
                + "\r\n\r\n" + text;
    }
}
