import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Map;

/** One ping of another writer, of a service that no configuration names, reaches the admin address of a daemon. */
public final class ForeignPing {
    public static void main(String[] arguments) throws Exception {
        Platform platform = new Platform(Path.of(arguments[0]), Path.of(arguments[1]), Path.of(arguments[2]));
        platform.heartbeatS = 0.87;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        ObjectNode spec = Platform.JSON.createObjectNode();
        spec.put("version", "00000007");
        Platform.route(spec.putObject("routes"), "r-cards", "cards.example", "/cards/", "idempotent", "cards");
        ObjectNode services = spec.putObject("services");
        Platform.service(services, "cards", true);
        Platform.service(services, "mixes", false);
        Platform.limits(spec);
        platform.store.putConfiguration(spec);
        int[] hosts = {1, 2, 3, 4, 5, 6};
        for (int host : hosts) {
            String service = host <= 3 ? "cards" : "mixes";
            platform.startDaemon(host, service, true);
            platform.new Upstream(host, service, "i-" + platform.newId().substring(0, 8), host <= 3);
        }
        for (int host : hosts) {
            if (!platform.awaitReady(host, 30_000)) {
                platform.log("daemon " + host + " is not ready");
                System.exit(2);
            }
        }
        if (!platform.awaitAllHeld("cards", 30_000)) {
            platform.log("the keys are not held");
            System.exit(2);
        }
        platform.log("all keys are held");
        Platform.sleep(4_000);
        Platform.HolderCheck check = platform.new HolderCheck("cards");
        Traffic traffic = new Traffic(platform, hosts, 10, "cards.example", "/cards/2f");
        Platform.sleep(6_000);
        platform.upstreams.get(0).awaitNextPing();
        if (trouble) {
            ObjectNode body = Platform.JSON.createObjectNode();
            body.put("service", "elsewhere").put("address", platform.ip(99) + ":8301").put("zone", "za")
                    .put("version", "v1").put("slots", 12).put("state", "ready").put("cold_left_s", 0).put("seq", 4)
                    .put("born", System.currentTimeMillis());
            Platform.Response response = Platform.call(
                    platform.ip(1), 8306,
                    Platform.request("POST", "/coriandercrank/instances/i-other/heartbeat",
                            Map.of("Content-Type", "application/json"), Platform.JSON.writeValueAsBytes(body)),
                    2_000);
            platform.log("foreign-ping service=elsewhere status=" + response.status);
        }
        platform.watchKeys(15);
        traffic.stopped = true;
        System.exit(platform.judgeHolders(check, traffic));
    }
}
