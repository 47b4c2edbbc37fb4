import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** All machines but one are lost for good at the same moment; empty ones come at other addresses. Are keys served? */
final class LostMachines {
    private static final int MACHINES = 6;
    private static final int RECOVER_MS = 15_000;
    private static final String CONFIGURATION =
            """
            {"version":"00000007","routes":{"r-1":{"host":"site.example","path_prefix":"/counter/",
            "route_kind":"idempotent","timeout_s":1.5,"target_latency_s":0.6,"priority":2,"service":"counter",
            "attempts":2}},"services":{"counter":{"health_path":"/healthz","max_connections":110,"protocol":"h1",
            "tls":false,"sharded":true,"warmup_s":2.0,"grants":"heartbeat"}},"limits":{"max_header_bytes":16384,
            "max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}
            """;

    public static void main(String[] arguments) throws Exception {
        Path repository = Path.of(arguments[0]);
        boolean trouble = arguments[3].equals("1");
        Record record = new Record(Path.of(arguments[2]));
        int exit = 2;
        try (Site site = new Site(repository, Path.of(arguments[1]), record)) {
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
        List<Site.Machine> machines = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            machines.add(site.add(i % 2 == 0 ? "montego" : "savanna", "counter", 100));
        }
        for (Site.Machine machine : machines) {
            site.start(machine);
        }
        long startNanos = System.nanoTime();
        while (site.members().size() < MACHINES || !site.ledger.allHeld()) {
            if (System.nanoTime() - startNanos > 45e9) {
                record.line("the site did not settle");
                return 2;
            }
            Thread.sleep(100);
        }
        Thread.sleep(6_000);
        double before = servedShare(site, record, machines, "before");
        if (trouble) {
            for (Site.Machine machine : machines.subList(1, MACHINES)) {
                machine.upstream.close();
                site.kill(machine);
            }
            record.line("machines 1 to " + (MACHINES - 1) + " are gone for good");
            Thread.sleep(2_000);
            machines = new ArrayList<>(machines.subList(0, 1));
            for (int i = 1; i < MACHINES; i++) {
                Site.Machine machine = site.add(i % 2 == 0 ? "montego" : "savanna", "counter", 100);
                site.start(machine);
                machines.add(machine);
            }
        }
        long readyNanos = System.nanoTime();
        for (Site.Machine machine : machines) {
            while (!isReady(site, machine)) {
                if (System.nanoTime() - readyNanos > 20e9) {
                    record.line("machine " + machine.number + " is not ready");
                    return 2;
                }
                Thread.sleep(50);
            }
        }
        record.line("all machines are back");
        Thread.sleep(RECOVER_MS + 5_000);
        double after = servedShare(site, record, machines, "after");
        record.line(String.format("result served-before=%.3f served-after=%.3f", before, after));
        if (before < 0.25) {
            return 2;
        }
        return after < 0.25 ? 1 : 0;
    }

    private static boolean isReady(Site site, Site.Machine machine) {
        try {
            HttpURLConnection connection = (HttpURLConnection) URI.create("http:/" + site.ready(machine)
                            + "/coriandercrank/ready")
                    .toURL()
                    .openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (java.io.IOException e) {
            return false;
        }
    }

    /** Sends 300 requests with random keys at random machines in 10 s; returns the share that is served. */
    private static double servedShare(Site site, Record record, List<Site.Machine> machines, String name)
            throws InterruptedException {
        Random random = new Random();
        AtomicInteger served = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            Site.Machine machine = machines.get(random.nextInt(machines.size()));
            int key = random.nextInt(Upstream.KEYS);
            Thread thread = new Thread(() -> {
                if (site.send(machine, "GET", "/counter/" + key, key, new byte[0], 1_500).status() == 200) {
                    served.incrementAndGet();
                }
            });
            thread.start();
            threads.add(thread);
            Thread.sleep(33);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record.line(name + ": " + served + " of 300 served");
        return served.get() / 300.0;
    }
}
