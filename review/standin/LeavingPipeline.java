import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Clients send many idempotent requests on a connection and close it before the first is answered. */
final class LeavingPipeline {
    private static final int DEPTH = 100;
    private static final int ROUNDS = 2;
    private static final int WORK_MS = 1_280;
    private static final int DEADLINE_MS = 5_000;
    private static final int LEAVE_AFTER_MS = 300;
    private static final double NOTICE_S = 0.5;
    private static final String CONFIGURATION =
            """
            {"version":"00000007","routes":{"r-1":{"host":"site.example","path_prefix":"/parts/",
            "route_kind":"idempotent","timeout_s":2.5,"target_latency_s":2.0,"priority":2,"service":"parts",
            "attempts":2}},"services":{"parts":{"health_path":"/healthz","max_connections":110,"protocol":"h1",
            "tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,
            "idle_timeout_s":15}}
            """;

    /** When the client of each request closed its connection, in seconds of the record. */
    private static final Map<String, Double> leftAt = new HashMap<>();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = arguments[3].equals("1");
        Record record = new Record(Path.of(arguments[2]));
        int exit = 2;
        try (Site site = new Site(Path.of(arguments[0]), Path.of(arguments[1]), record)) {
            exit = run(site, record, trouble, Path.of(arguments[2]));
        } catch (Exception | Error e) {
            record.line("could not run: " + e);
            e.printStackTrace();
        }
        record.line("exit " + exit);
        System.exit(exit);
    }

    private static int run(Site site, Record record, boolean trouble, Path recordFile) throws Exception {
        site.configure(CONFIGURATION);
        for (int i = 0; i < 4; i++) {
            site.add(i % 2 == 0 ? "montego" : "savanna", "parts", WORK_MS);
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
        List<Thread> warm = new ArrayList<>();
        for (int i = 0; i < 32; i++) {
            Site.Machine machine = site.machines.get(i % 4);
            warm.add(new Thread(
                    () -> site.send(machine, "GET", "/parts/warm", -1, new byte[0], DEADLINE_MS)));
            warm.get(i).start();
        }
        for (Thread thread : warm) {
            thread.join();
        }
        Thread.sleep(2_000);
        for (int round = 0; round < ROUNDS; round++) {
            List<Thread> threads = new ArrayList<>();
            for (Site.Machine machine : site.machines) {
                Thread thread = new Thread(() -> pipeline(site, record, machine, trouble));
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Thread.sleep(5_000);
        }
        return verdict(record, recordFile);
    }

    private static void pipeline(Site site, Record record, Site.Machine machine, boolean trouble) {
        List<String> ids = new ArrayList<>();
        try (Socket socket = new Socket()) {
            socket.connect(site.outbound(machine), 1_000);
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < DEPTH; i++) {
                String id = site.nextRequestId();
                ids.add(id);
                requests.append("GET /parts/" + i + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nCoriandercrank-Request-Id: "
                        + id + "\r\nCoriandercrank-Request-Deadline: " + DEADLINE_MS + "\r\n\r\n");
                record.line("sent machine=" + machine.number + " request=" + id);
            }
            OutputStream out = socket.getOutputStream();
            out.write(requests.toString().getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(trouble ? LEAVE_AFTER_MS : DEADLINE_MS);
        } catch (IOException | InterruptedException e) {
            record.line("connection failed: " + e);
        }
        double now = record.seconds();
        record.line("closed machine=" + machine.number + " requests=" + ids.get(0) + " to " + ids.get(DEPTH - 1));
        if (trouble) {
            synchronized (leftAt) {
                ids.forEach(id -> leftAt.put(id, now));
            }
        }
    }

    private static int verdict(Record record, Path recordFile) throws IOException {
        Map<String, Double> begun = new HashMap<>();
        Map<String, Double> ended = new HashMap<>();
        for (String line : Files.readAllLines(recordFile)) {
            String[] words = line.trim().split(" ");
            if (words.length > 3 && (words[1].equals("run") || words[1].equals("end"))) {
                String id = words[3].substring("request=".length());
                (words[1].equals("run") ? begun : ended).put(id, Double.parseDouble(words[0]));
            }
        }
        int wouldLast = 0;
        int atWork = 0;
        int sentOnLater = 0;
        for (Map.Entry<String, Double> left : leftAt.entrySet()) {
            Double begin = begun.get(left.getKey());
            if (begin == null) {
                continue;
            }
            double noticeAt = left.getValue() + NOTICE_S;
            sentOnLater += begin > noticeAt ? 1 : 0;
            if (begin <= noticeAt && begin + WORK_MS / 1e3 > noticeAt) {
                wouldLast++;
                atWork += ended.getOrDefault(left.getKey(), Double.MAX_VALUE) > noticeAt ? 1 : 0;
            }
        }
        record.line("result would-last=" + wouldLast + " still-at-work=" + atWork + " sent-on-later=" + sentOnLater);
        return atWork * 4 > wouldLast || sentOnLater > 5 ? 1 : 0;
    }
}
