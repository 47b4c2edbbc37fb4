package org.coriandercrank.adapters;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.http.HttpServer;
import org.coriandercrank.http.HttpServerOptions;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.WatchBatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against cancelled calls that keep all connections to a silent store, so that the next call is not sent. */
class SilentStoreTest {
    /** Twice as many as there are connections of each kind. */
    private static final int CALLS = 16;

    private static final long CALL_TIMEOUT_MS = 10_000;
    private static final long WAIT_MS = 25_000;
    private static final long AT_ONCE_MS = 2_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicBoolean silent = new AtomicBoolean(true);
    private final HttpServer server =
            HttpServer.listen(group, new HostAddress("127.0.0.1", 0), HttpServerOptions.DEFAULTS, (request, closed) -> {
                requests.incrementAndGet();
                return silent.get() ? new CompletableFuture<>() : CompletableFuture.completedFuture(emptyBatch());
            });
    private final HttpObjectStore store = new HttpObjectStore(group, server.address(), CALL_TIMEOUT_MS);

    @AfterEach
    void close() {
        store.close();
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static HttpResponse emptyBatch() {
        return new HttpResponse(
                200, List.of(), "{\"upTo\":12,\"changes\":[],\"reset\":false}".getBytes(StandardCharsets.UTF_8));
    }

    private CompletableFuture<WatchBatch> call(boolean watch) {
        return watch ? store.watch("config/", new Revision(10), WAIT_MS) : store.list("config/");
    }

    private void cancelledCallsLeaveAConnection(boolean watch) throws Exception {
        for (int i = 1; i <= CALLS; i++) {
            CompletableFuture<WatchBatch> call = call(watch);
            int sent = i;
            Await.eventually(() -> requests.get() == sent);
            assertThat(call.cancel(false)).isTrue();
        }
        silent.set(false);
        assertThat(call(watch).get(AT_ONCE_MS, TimeUnit.MILLISECONDS).upTo().number())
                .isEqualTo(12);
    }

    @Test
    void watchIsSentAfterCancelledOnes() throws Exception {
        cancelledCallsLeaveAConnection(true);
    }

    @Test
    void listingIsSentAfterCancelledOnes() throws Exception {
        cancelledCallsLeaveAConnection(false);
    }
}
