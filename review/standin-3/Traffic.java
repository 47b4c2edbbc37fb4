import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send keyed idempotent requests to daemons, a fixed number a second, each on a new connection. */
final class Traffic {
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();
    volatile boolean stopped;

    /** Starts clients beside each of the hosts. */
    Traffic(Platform platform, int[] hosts, int perSecondEach, String hostName, String path) {
        for (int host : hosts) {
            Platform.thread("client-" + host, () -> {
                while (!stopped) {
                    Platform.thread("request", () -> send(platform, host, hostName, path));
                    Platform.sleep(1000 / perSecondEach);
                }
            });
        }
    }

    private void send(Platform platform, int host, String hostName, String path) {
        String id = platform.newId();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", hostName);
        headers.put("Coriandercrank-Request-Id", id);
        headers.put("Coriandercrank-Request-Deadline", "2000");
        headers.put("Coriandercrank-Shard-Key", Integer.toString(ThreadLocalRandom.current().nextInt(65_536)));
        sent.incrementAndGet();
        platform.log("sent request=" + id + " daemon=" + host);
        try {
            Platform.Response response =
                    Platform.call(platform.ip(host), 8304, Platform.request("GET", path, headers, null), 2_500);
            platform.log("answered request=" + id + " status=" + response.status);
            (response.status == 200 ? served : failed).incrementAndGet();
        } catch (IOException e) {
            platform.log("answered request=" + id + " failure=" + e.getMessage());
            failed.incrementAndGet();
        }
    }
}
