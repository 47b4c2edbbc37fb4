package org.coriandercrank.adapters;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.adapters.internal.StoreResponses;
import org.coriandercrank.adapters.internal.UrlEncoding;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.RequestSequence;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.store.EraTracker;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;

/**
 * Client of an object store over HTTP; see {@code docs/PROTOCOL_STORE.md} for the protocol.
 *
 * <p>Thread safe. Each method sends at most one HTTP request and never repeats it, except that a watch during which the
 * era of the store changes is followed by a listing. Watches use dedicated connections, so that waiting watches do not
 * delay other calls.
 */
public final class HttpObjectStore implements ObjectStore {
    /** Maximum size of a value that the store accepts. */
    public static final int MAX_VALUE_BYTES = 1_048_576;

    private static final int CALL_CONNECTIONS = 8;
    private static final int WATCH_CONNECTIONS = 8;

    /** A listing contains many objects, with values in base64, so it can be many times larger than one object. */
    private static final int MAX_RESPONSE_BYTES = 67_108_864;

    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_QUEUED_CALLS = 1_024;
    private static final long IDLE_TIMEOUT_MS = 30_000;

    private final HttpClient callClient;
    private final HttpClient watchClient;
    private final long callTimeoutMs;
    private final EraTracker eras = new EraTracker();

    /**
     * Creates a client, which opens connections on demand.
     *
     * @param group I/O threads, closed by the caller
     * @param callTimeoutMs timeout of a call; for a watch it is added to the waiting time
     */
    public HttpObjectStore(EventLoopGroup group, HostAddress address, long callTimeoutMs) {
        this.callTimeoutMs = callTimeoutMs;
        HttpClientOptions options = new HttpClientOptions(
                CALL_CONNECTIONS, MAX_QUEUED_CALLS, CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES, IDLE_TIMEOUT_MS);
        this.callClient = new HttpClient(group, address, options);
        this.watchClient = new HttpClient(group, address, options.withMaxConnections(WATCH_CONNECTIONS));
    }

    @Override
    public Era era() {
        return eras.latest();
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(String name) {
        RequestSequence requests = new RequestSequence();
        return requests.cancelWith(StoreResponses.read(
                eras,
                requests.send(
                        () -> callClient.sendAndDistrustIdle(HttpRequest.of("GET", objectTarget(name)), callTimeoutMs)),
                (response, era) -> StoreResponses.object(name, response, era)));
    }

    @Override
    public CompletableFuture<WatchBatch> list(String prefix) {
        RequestSequence requests = new RequestSequence();
        return requests.cancelWith(list(requests, prefix));
    }

    private CompletableFuture<WatchBatch> list(RequestSequence requests, String prefix) {
        QueryStringEncoder target = new QueryStringEncoder("/v1/list");
        target.addParam("prefix", prefix);
        return StoreResponses.read(
                eras,
                requests.send(
                        () -> callClient.sendAndDistrustIdle(HttpRequest.of("GET", target.toString()), callTimeoutMs)),
                StoreResponses::batch);
    }

    @Override
    public CompletableFuture<Revision> put(String name, byte[] value, Revision expected) {
        if (value.length > MAX_VALUE_BYTES) {
            return CompletableFuture.failedFuture(new CrankException(
                    ResultCode.STORE_UNAVAILABLE,
                    "value of " + name + " has " + value.length + " bytes, limit " + MAX_VALUE_BYTES));
        }
        return write("PUT", name, value, expected);
    }

    @Override
    public CompletableFuture<Void> delete(String name, Revision expected) {
        return write("DELETE", name, new byte[0], expected).thenApply(revision -> null);
    }

    private CompletableFuture<Revision> write(String method, String name, byte[] value, Revision expected) {
        Era intended;
        try {
            intended = eras.beforeWrite(name, expected);
        } catch (CrankException e) {
            return CompletableFuture.failedFuture(e);
        }
        return StoreResponses.write(
                name,
                eras,
                intended,
                callClient.sendAndDistrustIdle(writeRequest(method, name, value, expected), callTimeoutMs));
    }

    @Override
    public CompletableFuture<WatchBatch> watch(String prefix, Revision after, long waitMs) {
        if (eras.latest().isNewerThan(after.era()) && !after.equals(Revision.NONE)) {
            return list(prefix);
        }
        QueryStringEncoder target = new QueryStringEncoder("/v1/watch");
        target.addParam("prefix", prefix);
        target.addParam("after", Long.toString(after.number()));
        target.addParam("wait-ms", Long.toString(waitMs));
        RequestSequence requests = new RequestSequence();
        return requests.cancelWith(StoreResponses.read(
                        eras,
                        requests.send(() -> watchClient.sendAndDistrustIdle(
                                HttpRequest.of("GET", target.toString()), waitMs + callTimeoutMs)),
                        StoreResponses::batch)
                .thenCompose(batch -> batch.upTo().era().isNewerThan(after.era()) && !batch.reset()
                        ? list(requests, prefix)
                        : CompletableFuture.completedFuture(batch)));
    }

    @Override
    public void close() {
        callClient.close();
        watchClient.close();
    }

    private static HttpRequest writeRequest(String method, String name, byte[] value, Revision expected) {
        return new HttpRequest(
                method,
                objectTarget(name),
                List.of(
                        new Header("content-type", "application/octet-stream"),
                        new Header(StoreResponses.EXPECTED_REVISION_HEADER, Long.toString(expected.number()))),
                value);
    }

    private static String objectTarget(String name) {
        return "/v1/objects/" + UrlEncoding.encodePath(name);
    }
}
