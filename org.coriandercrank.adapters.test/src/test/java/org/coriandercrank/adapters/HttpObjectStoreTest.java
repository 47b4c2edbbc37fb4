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

/** The contract over HTTP against {@code crank-store}, and what is special to HTTP. */
class HttpObjectStoreTest extends ObjectStoreContract {
    private static final PluginRegistry REGISTRY = PluginRegistry.load();

    /** Only keeps a hung test from lasting; the first such call of a JVM loads classes of the stand-in. */
    private static final long ADMIN_LIMIT_MS = 30_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** Bound but not listening: connections to its port are refused, and no other process can take the port. */
    private final Socket unreachable = new Socket();

    private CrankStore program;
    private HttpClient admin;
    private ObjectStore reachable;
    private ObjectStore store;

    @BeforeEach
    void start() throws Exception {
        program = CrankStore.start(SettingsLoader.load(
                new StoreSettings(), List.of("--listen", "127.0.0.1:0", "--history-entries", "10"), Map.of()));
        admin = new HttpClient(group, program.address(), HttpClientOptions.DEFAULTS);
        reachable = open(program.address());
        store = reachable;
        // The first calls of a JVM load classes and can exceed the time-out.
        Await.eventually(() -> store.get("warm-up").handle((v, e) -> e == null).join());
    }

    @AfterEach
    void stop() throws Exception {
        unreachable.close();
        reachable.close();
        program.close();
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
            unreachable.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            store = open(new HostAddress("127.0.0.1", unreachable.getLocalPort()));
            return;
        }
        store = reachable;
        String kind = fault == StoreFault.NONE
                ? "up"
                : fault.name().toLowerCase(Locale.ROOT).replace('_', '-');
        inject("{\"kind\":\"" + kind + "\",\"delayMs\":" + FAULT_DELAY_MS + "}");
    }

    private void inject(String json) throws Exception {
        HttpResponse reply = Await.value(admin.send(HttpRequest.of("POST", "/admin/faults", json), ADMIN_LIMIT_MS));
        assertThat(reply.status()).isEqualTo(200);
    }

    private String stats() {
        return admin.send(HttpRequest.of("GET", "/admin/stats"), ADMIN_LIMIT_MS)
                .join()
                .bodyText();
    }

    /** Guards against a consumer that misses changes which the bounded history no longer has. */
    @Test
    void watchFromBeforeTheHistoryIsAWholeListing() throws Exception {
        Revision revision = Revision.NONE;
        for (int i = 0; i < 12; i++) {
            revision = Await.value(store().put("members/a", bytes("v" + i), revision));
        }
        assertThat(Await.value(store().watch("members/", new Revision(1), 1_000))
                        .reset())
                .isTrue();
        assertThat(Await.value(store().watch("members/", new Revision(2), 1_000))
                        .reset())
                .isFalse();
        WatchBatch restarted = Await.value(store().watch("members/", new Revision(99), 1_000));
        assertThat(restarted.reset()).isTrue();
        assertThat(restarted.upTo()).isEqualTo(revision);
    }

    /** Guards against counts that hide the cost of watches, and against faults that do not end by themselves. */
    @Test
    void countsCallsAndEndsFaults() throws Exception {
        CompletableFuture<WatchBatch> waiting = store().watch("members/", Revision.NONE, 4_000);
        Await.eventually(() -> stats().contains("\"waitingWatches\":1"));
        inject("{\"kind\":\"unanswered\",\"count\":1}");
        assertThat(Await.code(store().put("members/a", bytes("1"), Revision.NONE)))
                .isEqualTo(ResultCode.WRITE_UNANSWERED);
        assertThat(Await.value(waiting).changes()).hasSize(1);
        assertThat(Await.code(store().put("members/b", bytes("1"), Revision.NONE)))
                .isEqualTo(ResultCode.OK);
        inject("{\"kind\":\"down\",\"durationMs\":80}");
        assertThat(Await.code(store().get("members/a"))).isEqualTo(ResultCode.STORE_UNAVAILABLE);
        Await.eventually(
                () -> !store().get("members/a").handle((v, e) -> e != null).join());
        assertThat(stats()).contains("\"watch\":1").contains("\"put\":2");
    }

    /** Guards against an unreadable answer taken for a value, or for a write without effect. */
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
    void mapsMalformedAnswers(int status, String revision, String body, ResultCode get, ResultCode list, ResultCode put)
            throws Exception {
        List<Header> headers = revision == null ? List.of() : List.of(new Header("crank-revision", revision));
        HttpResponse reply = new HttpResponse(status, headers, bytes(body));
        try (HttpServer server = HttpServer.listen(
                        group,
                        new HostAddress("127.0.0.1", 0),
                        HttpServerOptions.DEFAULTS,
                        (call, closed) -> CompletableFuture.completedFuture(reply));
                ObjectStore broken = open(server.address())) {
            assertThat(Await.code(broken.get("a"))).isEqualTo(get);
            assertThat(Await.code(broken.list("a"))).isEqualTo(list);
            assertThat(Await.code(broken.put("a", bytes("1"), Revision.NONE))).isEqualTo(put);
        }
    }
}
