package org.coriandercrank.note;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.adapters.HttpAdapterPlugin;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.settings.SettingsLoader;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;
import org.coriandercrank.standin.CrankStore;
import org.coriandercrank.standin.StoreSettings;

/**
 * A {@code crank-store} in this process, with faults that start immediately or at the next write of the configuration.
 * Not thread safe.
 */
final class FaultyStore implements ObjectStore {
    private static final long CALL_TIMEOUT_MS = 400;

    private final CrankStore storeProgram;
    private final ObjectStore client;
    private final HttpClient adminClient = HttpClient.newHttpClient();
    private volatile List<String> faultsAtWrite = List.of();

    FaultyStore() {
        storeProgram = CrankStore.start(
                SettingsLoader.load(new StoreSettings(), List.of("--listen", "127.0.0.1:0"), Map.of()));
        client = PluginRegistry.load()
                .get(PluginRegistry.Kind.STORE, HttpAdapterPlugin.NAME)
                .open(storeProgram.address(), CALL_TIMEOUT_MS);
        // The first calls of a JVM load classes and can exceed the timeout.
        while (client.get("warm-up").handle((value, failure) -> failure != null).join()) {
            Thread.onSpinWait();
        }
    }

    /** Injects a fault, in the JSON form of {@code docs/PROTOCOL_STORE.md}. */
    void injectFault(String json) {
        try {
            adminClient.send(
                    HttpRequest.newBuilder(URI.create("http://" + storeProgram.address() + "/admin/faults"))
                            .POST(HttpRequest.BodyPublishers.ofString(json))
                            .build(),
                    HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Injects faults immediately before the next write of the configuration is sent. */
    void injectFaultsAtConfigurationWrite(List<String> jsons) {
        faultsAtWrite = jsons;
    }

    @Override
    public CompletableFuture<Revision> put(String name, byte[] value, Revision expected) {
        if (name.equals(ObjectNames.CONFIGURATION)) {
            List<String> faults = faultsAtWrite;
            faultsAtWrite = List.of();
            faults.forEach(this::injectFault);
        }
        return client.put(name, value, expected);
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(String name) {
        return client.get(name);
    }

    @Override
    public CompletableFuture<WatchBatch> list(String prefix) {
        return client.list(prefix);
    }

    @Override
    public CompletableFuture<Void> delete(String name, Revision expected) {
        return client.delete(name, expected);
    }

    @Override
    public CompletableFuture<WatchBatch> watch(String prefix, Revision after, long waitMs) {
        return client.watch(prefix, after, waitMs);
    }

    @Override
    public void close() {
        client.close();
        storeProgram.close();
    }
}
