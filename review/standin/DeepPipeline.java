import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Clients send many idempotent requests before the first is answered; upstreams lose some of their answers. */
final class DeepPipeline {
    private static final int DEPTH = 48;
    private static final int ROUNDS = 2;
    private static final double TIMEOUT_S = 1.0;
    private static final int DEADLINE_MS = 2_000;
    private static final String CONFIGURATION =
            """
            {"version":"00000007","routes":{"r-1":{"host":"site.example","path_prefix":"/cards/",
            "route_kind":"idempotent","timeout_s":1.0,"target_latency_s":0.3,"priority":2,"service":"cards",
            "attempts":2}},"services":{"cards":{"health_path":"/healthz","max_connections":110,"protocol":"h1",
            "tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,
            "idle_timeout_s":15}}
            """;

    private static int slow;
    private static int unanswered;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = arguments[3].equals("1");
        Record record = new Record(Path.of(arguments[2]));
        int exit = 2;
        try (Site site = new Site(Path.of(arguments[0]), Path.of(arguments[1]), record)) {
            exit = run(site, record, trouble);
        } catch (Exception | Error e) {
            record.line("could not run: " + e);
            e.printStackTrace();
        }
        record.line("exit " + exit);
        System.exit(exit);
    }

    private static int run(Site site, Record record, boolean trouble) throws Exception {
        site.configure(CONFIGURATION);
        for (int i = 0; i < 4; i++) {
            site.add(i % 2 == 0 ? "montego" : "savanna", "cards", 60);
        }
        for (Site.Machine machine : site.machines) {
            site.start(machine);
        }
        long startNanos = System.nanoTime();
        while (site.members().size() < 4) {
            if (System.nanoTime() - startNanos > 45e9) {
                return 2;
            }
            Thread.sleep(100);
        }
        Thread.sleep(3_000);
        for (int i = 0; i < 200; i++) {
            site.send(site.machines.get(i % 4), "GET", "/cards/warm", -1, new byte[0], DEADLINE_MS);
        }
        Thread.sleep(3_000);
        if (trouble) {
            for (Site.Machine machine : site.machines.subList(0, 3)) {
                machine.upstream.lostAnswers = 0.3;
            }
            record.line("three of four upstreams lose 0.3 of their answers");
        }
        for (int round = 0; round < ROUNDS; round++) {
            List<Thread> threads = new ArrayList<>();
            for (Site.Machine machine : site.machines) {
                Thread thread = new Thread(() -> pipeline(site, record, machine));
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join();
            }
        }
        record.line("result unanswered-at-timeout=" + slow + " and-half-a-second-later=" + unanswered);
        boolean broken = unanswered >= 8 && unanswered * 4 > slow;
        return broken ? 1 : 0;
    }

    /** Sends the requests of one connection and reads the answers until the client's time limit. */
    private static void pipeline(Site site, Record record, Site.Machine machine) {
        List<Double> answeredAfter = new ArrayList<>();
        try (Socket socket = new Socket()) {
            socket.connect(site.outbound(machine), 1_000);
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < DEPTH; i++) {
                String id = site.nextRequestId();
                requests.append("GET /cards/" + i + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nCoriandercrank-Request-Id: "
                        + id + "\r\nCoriandercrank-Request-Deadline: " + DEADLINE_MS + "\r\n\r\n");
                record.line("sent machine=" + machine.number + " request=" + id);
            }
            OutputStream out = socket.getOutputStream();
            out.write(requests.toString().getBytes(StandardCharsets.US_ASCII));
            out.flush();
            long sentNanos = System.nanoTime();
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (answeredAfter.size() < DEPTH) {
                long leftMs = DEADLINE_MS - (System.nanoTime() - sentNanos) / 1_000_000;
                if (leftMs <= 0) {
                    break;
                }
                socket.setSoTimeout((int) leftMs);
                Http.Message message = Http.read(in);
                if (message == null) {
                    break;
                }
                double after = (System.nanoTime() - sentNanos) / 1e9;
                answeredAfter.add(after);
                record.line(String.format(
                        "answer machine=%d request=%s status=%d after=%.3f",
                        machine.number, message.header("coriandercrank-request-id"), message.status(), after));
            }
        } catch (SocketTimeoutException e) {
            record.line("the client's time limit passed");
        } catch (IOException e) {
            record.line("connection failed: " + e);
        }
        int late = 0;
        int none = DEPTH - answeredAfter.size();
        for (double after : answeredAfter) {
            late += after > TIMEOUT_S ? 1 : 0;
            none += after > TIMEOUT_S + 0.5 ? 1 : 0;
        }
        synchronized (DeepPipeline.class) {
            slow += late + DEPTH - answeredAfter.size();
            unanswered += none;
        }
        record.line("connection: " + answeredAfter.size() + " of " + DEPTH + " answered");
    }
}
