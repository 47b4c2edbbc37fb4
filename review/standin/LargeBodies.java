import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send bodies that the operator's limits allow, some at the same time. */
final class LargeBodies {
    private static final String CONFIGURATION =
            """
            {"version":"00000007","routes":{"r-1":{"host":"site.example","path_prefix":"/cash/",
            "route_kind":"non_idempotent","timeout_s":5,"target_latency_s":2,"priority":1,"service":"cash",
            "attempts":2}},"services":{"cash":{"health_path":"/healthz","max_connections":110,"protocol":"h1",
            "tls":false}},"limits":{"max_header_bytes":16384,
            "max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}
            """;

    public static void main(String[] arguments) throws Exception {
        Path repository = Path.of(arguments[0]);
        boolean trouble = arguments[3].equals("1");
        int size = Integer.parseInt(arguments[4]);
        int atOnce = Integer.parseInt(arguments[5]);
        Record record = new Record(Path.of(arguments[2]));
        int exit = 2;
        try (Site site = new Site(repository, Path.of(arguments[1]), record)) {
            exit = run(site, record, trouble, size, atOnce);
        } catch (Exception e) {
            record.line("could not run: " + e);
            e.printStackTrace();
        }
        record.line("exit " + exit);
        System.exit(exit);
    }

    private static int run(Site site, Record record, boolean trouble, int size, int atOnce) throws Exception {
        site.configure(CONFIGURATION);
        for (int i = 0; i < 4; i++) {
            site.add(i % 2 == 0 ? "montego" : "savanna", "cash", 100);
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
        AtomicInteger served = new AtomicInteger();
        for (int round = 0; round < 3; round++) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < atOnce; i++) {
                Thread thread = new Thread(() -> {
                    if (site.send(site.machines.get(0), "POST", "/cash/x", -1, new byte[size], 5_000).status() == 200) {
                        served.incrementAndGet();
                    }
                });
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            record.line("round " + round + " served " + served);
        }
        Thread.sleep(3_000);
        int after = 0;
        for (int i = 0; i < 40; i++) {
            if (site.send(site.machines.get(i % 4), "POST", "/cash/y", -1, new byte[100], 2_000).status() == 200) {
                after++;
            }
        }
        for (Site.Machine machine : site.machines) {
            record.line("machine " + machine.number + " alive=" + machine.daemon.isAlive());
        }
        record.line("after: " + after + " of 40");
        return after < 10 ? 1 : 0;
    }
}
