import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/**
 * A ping of another writer, with a service that is not named in the configuration, reaches the daemon of a sound upstream,
 * and later, one by one, those of two others. Checks that no two upstreams hold the same keys for over half a second.
 * Arguments: the folder of the case, and whether the pings are sent.
 */
final class Case6 {
    private static final int DESKS = 4;
    private static final int PINGS = 3;
    private static final double OBSERVED_S = 8;
    private static final double MAX_SHARED_S = 0.5;

    private Case6() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !arguments[1].equals("0");
        int result = 2;
        try (Recorder record = new Recorder(Path.of(arguments[0]));
                Site site = new Site(record)) {
            result = run(site, record, trouble);
            record.end(result);
        } catch (Exception | Error e) {
            System.out.println("the case could not run: " + e);
            result = 2;
        }
        System.exit(result);
    }

    private static int run(Site site, Recorder record, boolean trouble) throws Exception {
        for (int i = 0; i < DESKS; i++) {
            site.addMachine(i % 2 == 0 ? "montego" : "savanna", "desk", true);
        }
        site.addMachine("montego", "book", false);
        site.addMachine("savanna", "book", false);
        site.configure("00000001", Map.of("desk", "idempotent", "book", "non_idempotent"), 1.5);
        for (Site.Machine machine : site.machines) {
            machine.startDaemon();
        }
        for (Site.Machine machine : site.machines) {
            site.startUpstream(machine, "i-" + machine.name, 18);
        }
        List<Upstream> desks = site.machines.stream()
                .filter(machine -> machine.sharded)
                .map(machine -> machine.upstream)
                .toList();
        boolean started = Site.await(
                45,
                () -> desks.stream().mapToInt(Upstream::heldCount).sum() == Upstream.KEYS
                        && desks.stream().allMatch(desk -> desk.heldCount() > 0));
        record.say("keys held before: %s", held(desks));
        if (!started) {
            return 2;
        }
        Consumers consumers = new Consumers(site, record);
        Thread.sleep(6_000);
        double longest = 0;
        for (Site.Machine machine : site.machines.subList(0, PINGS)) {
            if (trouble) {
                sendForeignPing(machine, record);
            }
            longest = Math.max(longest, observe(desks, record));
        }
        Upstream first = site.machines.get(0).upstream;
        int runsAtEnd = first.runs.get();
        Thread.sleep(2_000);
        record.say(
                "runs at the first upstream in the last 2 s: %d; keys held at the end: %s; answers %s",
                first.runs.get() - runsAtEnd, held(desks), consumers.summary());
        consumers.stop();
        Thread.sleep(1_600);
        record.say("two upstreams held the same keys for %.3f s at most", longest);
        return longest > MAX_SHARED_S ? 1 : 0;
    }

    private static String held(List<Upstream> desks) {
        return desks.stream().map(desk -> Integer.toString(desk.heldCount())).collect(Collectors.joining(", "));
    }

    private static void sendForeignPing(Site.Machine machine, Recorder record) throws IOException {
        ObjectNode ping = Json.object();
        ping.put("service", "service-that-is-not-named").put("address", machine.ip + ":8399");
        ping.put("slots", 4).put("state", "ready").put("seq", 1).put("born", System.currentTimeMillis());
        Http.Message answer = Http.exchange(
                machine.admin(),
                "POST",
                "/coriandercrank/instances/i-of-another-writer/heartbeat",
                Map.of("Content-Type", "application/json"),
                Json.write(ping),
                1_000);
        record.say("ping of another writer %s answered %d %s", ping, answer.status(), answer.text());
    }

    /** Returns the longest time for which two upstreams hold the same keys. */
    private static double observe(List<Upstream> desks, Recorder record) throws InterruptedException {
        double end = record.seconds() + OBSERVED_S;
        double sharedSince = -1;
        double longest = 0;
        while (record.seconds() < end) {
            int shared = sharedKeys(desks);
            double now = record.seconds();
            if (shared > 0 && sharedSince < 0) {
                record.say("two upstreams hold the same %d keys", shared);
                sharedSince = now;
            } else if (shared == 0 && sharedSince >= 0) {
                record.say("no two upstreams hold the same key, after %.3f s", now - sharedSince);
                sharedSince = -1;
            }
            longest = Math.max(longest, sharedSince < 0 ? 0 : now - sharedSince);
            Thread.sleep(10);
        }
        return longest;
    }

    private static int sharedKeys(List<Upstream> desks) {
        int shared = 0;
        for (int i = 0; i < desks.size(); i++) {
            for (int j = i + 1; j < desks.size(); j++) {
                shared += desks.get(i).sharedKeys(desks.get(j));
            }
        }
        return shared;
    }

    /** Consumers that send keyed requests at all daemons, ten a second each. */
    private static final class Consumers {
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger refused = new AtomicInteger();
        private final AtomicInteger failed = new AtomicInteger();
        private final AtomicLong number = new AtomicLong();
        private volatile boolean stopped;

        Consumers(Site site, Recorder record) {
            for (Site.Machine machine : site.machines) {
                Upstream.start(() -> run(machine, record));
            }
        }

        void stop() {
            stopped = true;
        }

        private void run(Site.Machine machine, Recorder record) {
            Random random = new Random(machine.name.hashCode());
            while (!stopped) {
                String id = "c6" + String.format("%014x", number.incrementAndGet());
                int key = random.nextInt(Upstream.KEYS);
                record.add("sent %s key %d to %s", id, key, machine.name);
                try {
                    int status = Http.exchange(
                                    machine.outbound(),
                                    "GET",
                                    "/r/x",
                                    Site.request("desk", id, key, 1_500),
                                    new byte[0],
                                    2_000)
                            .status();
                    record.add("answered %s status %d", id, status);
                    (status == 200 ? served : status == 503 ? refused : failed).incrementAndGet();
                    Thread.sleep(100);
                } catch (IOException e) {
                    failed.incrementAndGet();
                    record.add("failed %s %s", id, e.getMessage());
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        String summary() {
            return "200: " + served + ", 503: " + refused + ", other: " + failed;
        }
    }
}
