package org.coriandercrank.adapters;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.http.HttpServer;
import org.coriandercrank.http.HttpServerOptions;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.settings.SettingsLoader;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.WatchBatch;
import org.coriandercrank.standin.CrankStore;
import org.coriandercrank.standin.StoreSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the contract over HTTP against {@code crank-store}, and tests that are specific to HTTP. */
class HttpObjectStoreTest extends ObjectStoreContract {
    private static final PluginRegistry REGISTRY = PluginRegistry.load();

    /** Long, because the first call of a JVM loads the classes of the test store; only limits a test that hangs. */
    private static final long ADMIN_TIMEOUT_MS = 30_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** Bound but not listening, so that connections to its port are refused and no other process can use the port. */
    private final Socket boundSocket = new Socket();

    private CrankStore storeProgram;
    private HttpClient adminClient;
    private ObjectStore reachable;
    private ObjectStore store;

    @BeforeEach
    void start() throws Exception {
        storeProgram = CrankStore.start(SettingsLoader.load(
                new StoreSettings(), List.of("--listen", "127.0.0.1:0", "--history-entries", "10"), Map.of()));
        adminClient = new HttpClient(group, storeProgram.address(), HttpClientOptions.DEFAULTS);
        reachable = open(storeProgram.address());
        store = reachable;
        // The first calls of a JVM load classes and can exceed the timeout.
        Await.eventually(() ->
                store.get("warm-up").handle((value, failure) -> failure == null).join());
    }

    @AfterEach
    void stop() throws Exception {
        boundSocket.close();
        reachable.close();
        storeProgram.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static ObjectStore open(HostAddress address) {
        return REGISTRY.get(PluginRegistry.Kind.STORE, HttpAdapterPlugin.NAME).open(address, CALL_TIMEOUT_MS);
    }

    @Override
    ObjectStore store() {
        return store;
    }

    @Override
    void inject(StoreFault fault) throws Exception {
        if (fault == StoreFault.UNREACHABLE) {
            boundSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            store = open(new HostAddress("127.0.0.1", boundSocket.getLocalPort()));
            return;
        }
        store = reachable;
        String kind = fault == StoreFault.NONE
                ? "up"
                : fault.name().toLowerCase(Locale.ROOT).replace('_', '-');
        inject("{\"kind\":\"" + kind + "\",\"delayMs\":" + FAULT_DELAY_MS + "}");
    }

    private void inject(String json) throws Exception {
        HttpResponse response =
                Await.value(adminClient.send(HttpRequest.of("POST", "/admin/faults", json), ADMIN_TIMEOUT_MS));
        assertThat(response.status()).isEqualTo(200);
    }

    private String stats() {
        return adminClient
                .send(HttpRequest.of("GET", "/admin/stats"), ADMIN_TIMEOUT_MS)
                .join()
                .bodyText();
    }

    /** Guards against a watch that misses changes that the bounded history no longer contains. */
    @Test
    void watchFromBeforeHistoryReturnsFullListing() throws Exception {
        Revision revision = Revision.NONE;
        for (int i = 0; i < 12; i++) {
            revision = Await.value(store().put("members/a", bytes("v" + i), revision));
        }
        assertThat(Await.value(store().watch("members/", revision(1), 1_000)).reset())
                .isTrue();
        assertThat(Await.value(store().watch("members/", revision(2), 1_000)).reset())
                .isFalse();
        WatchBatch restarted = Await.value(store().watch("members/", revision(99), 1_000));
        assertThat(restarted.reset()).isTrue();
        assertThat(restarted.upTo()).isEqualTo(revision);
    }

    /**
     * Guards against statistics that do not count watches, and against injected faults that do not end as configured.
     */
    @Test
    void countsCallsAndLimitsFaults() throws Exception {
        CompletableFuture<WatchBatch> waitingWatch = store().watch("members/", Revision.NONE, 4_000);
        Await.eventually(() -> stats().contains("\"waitingWatches\":1"));
        inject("{\"kind\":\"unanswered\",\"count\":1}");
        assertThat(Await.code(store().put("members/a", bytes("1"), Revision.NONE)))
                .isEqualTo(ResultCode.WRITE_UNANSWERED);
        assertThat(Await.value(waitingWatch).changes()).hasSize(1);
        assertThat(Await.code(store().put("members/b", bytes("1"), Revision.NONE)))
                .isEqualTo(ResultCode.OK);
        inject("{\"kind\":\"down\",\"durationMs\":80}");
        assertThat(Await.code(store().get("members/a"))).isEqualTo(ResultCode.STORE_UNAVAILABLE);
        Await.eventually(() -> !store().get("members/a")
                .handle((value, failure) -> failure != null)
                .join());
        assertThat(stats()).contains("\"watch\":1").contains("\"put\":2");
    }

    /** Guards against a malformed response that is treated as a value, or as a write without effect. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "200 | x  | {}      | STORE_MALFORMED   | STORE_MALFORMED   | WRITE_UNANSWERED",
                "200 | 5  | [1      | OK                | STORE_MALFORMED   | OK",
                "200 | -1 | {}      | STORE_MALFORMED   | STORE_MALFORMED   | WRITE_UNANSWERED",
                "404 |    | none    | STORE_MALFORMED   | STORE_MALFORMED   | WRITE_UNANSWERED",
                "204 | 5  | ''      | STORE_MALFORMED   | STORE_MALFORMED   | WRITE_UNANSWERED",
                "500 |    | broken  | STORE_UNAVAILABLE | STORE_UNAVAILABLE | WRITE_UNANSWERED",
                "503 |    | broken  | STORE_UNAVAILABLE | STORE_UNAVAILABLE | WRITE_UNANSWERED",
            })
    void mapsMalformedResponses(
            int status,
            String revision,
            String body,
            ResultCode expectedOfGet,
            ResultCode expectedOfList,
            ResultCode expectedOfPut)
            throws Exception {
        List<Header> headers = revision == null ? List.of() : List.of(new Header("crank-revision", revision));
        HttpResponse response = new HttpResponse(status, headers, bytes(body));
        try (HttpServer server = HttpServer.listen(
                        group,
                        new HostAddress("127.0.0.1", 0),
                        HttpServerOptions.DEFAULTS,
                        (request, closed) -> CompletableFuture.completedFuture(response));
                ObjectStore broken = open(server.address())) {
            assertThat(Await.code(broken.get("a"))).isEqualTo(expectedOfGet);
            assertThat(Await.code(broken.list("a"))).isEqualTo(expectedOfList);
            assertThat(Await.code(broken.put("a", bytes("1"), Revision.NONE))).isEqualTo(expectedOfPut);
        }
    }
}
