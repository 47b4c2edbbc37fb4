import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A daemon is paused while the store turns it and one of its four witnesses away; the other three witnesses are killed
 * and start again, twice. The upstreams state which keys they hold.
 */
final class RestartedWitness {
    private static final int MACHINES = 7;
    private static final String CONFIGURATION =
            """
            {"version":"00000007","routes":{"r-1":{"host":"site.example","path_prefix":"/counter/",
            "route_kind":"idempotent","timeout_s":1.5,"target_latency_s":0.6,"priority":2,"service":"counter",
            "attempts":2}},"services":{"counter":{"health_path":"/healthz","max_connections":110,"protocol":"h1",
            "tls":false,"sharded":true,"warmup_s":2.0,"grants":"heartbeat"},"cash":{"health_path":"/healthz",
            "max_connections":110,"protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,
            "max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}
            """;

    /** The member that is paused and the machines around it. */
    private record Roles(Site.Machine member, Site.Machine taker, List<Site.Machine> otherWitnesses) {}

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
        for (int i = 0; i < MACHINES; i++) {
            site.add(i % 2 == 0 ? "montego" : "savanna", i < 6 ? "counter" : "cash", 100);
        }
        for (Site.Machine machine : site.machines) {
            site.start(machine);
        }
        long startNanos = System.nanoTime();
        Roles roles = null;
        while (roles == null) {
            if (System.nanoTime() - startNanos > 60e9) {
                record.line("the site did not settle");
                return 2;
            }
            Thread.sleep(100);
            if (System.nanoTime() - startNanos > 8e9) {
                roles = roles(site);
            }
        }
        for (int c = 0; c < 2 * MACHINES; c++) {
            Site.Machine machine = site.machines.get(c % MACHINES);
            Upstream.thread(() -> client(site, machine));
        }
        Thread.sleep(3_000);
        roles = roles(site) == null ? roles : roles(site);
        record.line("paused member on machine " + roles.member.number + ", taker on machine " + roles.taker.number
                + ", other witnesses on machines "
                + roles.otherWitnesses.stream().map(m -> m.number).toList());
        if (trouble) {
            trouble(site, record, roles);
        } else {
            Thread.sleep(14_000);
        }
        return verdict(site, record);
    }

    private static void trouble(Site site, Record record, Roles roles) throws Exception {
        long answeredPings = roles.member.upstream.answeredPings.get();
        while (roles.member.upstream.answeredPings.get() == answeredPings) {
            Thread.sleep(5);
        }
        long t0 = System.nanoTime();
        site.signal(roles.member, "STOP");
        sleepUntil(t0, 500);
        restart(site, roles.otherWitnesses);
        sleepUntil(t0, 2_000);
        turnAway(site, record, roles.member, true);
        turnAway(site, record, roles.taker, true);
        sleepUntil(t0, 4_150);
        site.signal(roles.member, "CONT");
        sleepUntil(t0, 4_350);
        restart(site, roles.otherWitnesses);
        sleepUntil(t0, 7_000);
        turnAway(site, record, roles.taker, false);
        sleepUntil(t0, 10_900);
        turnAway(site, record, roles.member, false);
        sleepUntil(t0, 14_000);
    }

    private static void turnAway(Site site, Record record, Site.Machine machine, boolean away) {
        site.store.turnedAway[machine.number] = away;
        record.line("the store " + (away ? "turns machine " + machine.number + " away" : "serves machine "
                + machine.number + " again"));
    }

    private static int verdict(Site site, Record record) {
        KeyLedger ledger = site.ledger;
        synchronized (ledger) {
            record.line(String.format(
                    "result longest-overlap-s=%.3f keys-held-twice-over-0.5s=%d keys-begun-twice=%d fences-not-above=%d",
                    ledger.longestOverlapS, ledger.keysHeldTwiceTooLong, ledger.keysBegunTwice, ledger.fencesNotAbove));
            return ledger.keysHeldTwiceTooLong + ledger.keysBegunTwice + ledger.fencesNotAbove > 0 ? 1 : 0;
        }
    }

    private static void sleepUntil(long t0, long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - (System.nanoTime() - t0) / 1_000_000));
    }

    private static void restart(Site site, List<Site.Machine> machines) throws Exception {
        for (Site.Machine machine : machines) {
            site.kill(machine);
        }
        Thread.sleep(100);
        for (Site.Machine machine : machines) {
            site.start(machine);
        }
    }

    private static void client(Site site, Site.Machine machine) {
        Random random = new Random();
        while (true) {
            int key = random.nextInt(Upstream.KEYS);
            site.send(machine, "GET", "/counter/" + key, key, new byte[0], 1_500);
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * A member with keys and four witnesses that does not hold the planner role; null if not all have joined with four
     * witnesses or not all keys are held. The planner is not one of the witnesses, if possible.
     */
    private static Roles roles(Site site) {
        List<JsonNode> members = site.members();
        JsonNode planner = site.store.get("crank-roles", "planner");
        if (members.size() != MACHINES || planner == null || !site.ledger.allHeld()) {
            return null;
        }
        String plannerId = text(planner.path("spec").path("value").path("holder"));
        Roles found = null;
        for (JsonNode object : members) {
            String id = object.path("metadata").path("name").asText();
            List<String> witnesses = new ArrayList<>();
            object.path("spec").path("value").path("witnesses").forEach(node -> witnesses.add(text(node)));
            if (witnesses.size() != 4) {
                return null;
            }
            Site.Machine machine = site.machineOf(id);
            if (machine.service.equals("counter") && !id.equals(plannerId)) {
                int place = witnesses.indexOf(plannerId);
                if (found == null || place < 0) {
                    found = new Roles(
                            machine,
                            site.machineOf(witnesses.get(0)),
                            witnesses.subList(1, 4).stream().map(site::machineOf).toList());
                }
            }
        }
        return found;
    }

    private static String text(JsonNode node) {
        return node.isTextual() ? node.asText() : node.path("value").asText();
    }
}
