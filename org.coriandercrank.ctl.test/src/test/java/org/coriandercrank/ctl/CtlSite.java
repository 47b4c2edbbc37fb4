package org.coriandercrank.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.adapters.HttpAdapterPlugin;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.http.HttpServer;
import org.coriandercrank.http.HttpServerOptions;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.GateStatus.ServingRange;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.settings.SettingsLoader;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.TableCodec;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.standin.CrankStore;
import org.coriandercrank.standin.StoreSettings;

/**
 * A store in this process with one live member, one that is sealed, and a table whose lower half has an owner. The
 * status endpoint of the live member answers what the test sets. Not thread safe.
 */
final class CtlSite implements AutoCloseable {
    static final ServiceName DESK = new ServiceName("counter-desk");
    static final MemberId OWNER = new MemberId("desk-1.a");
    static final KeyRange OWNED = new KeyRange(KeyHash.MIN, KeyHash.parse("7fffffffffffffff"));
    static final Generation FENCE = new Generation(3);

    private static final long TIMEOUT_MS = 5_000;
    private static final int UNAVAILABLE = 503;

    /** What a run printed and returned. Immutable. */
    record Run(int exitCode, String out, String err) {
        JsonNode json() {
            try {
                return JsonCodec.mapper().readTree(out);
            } catch (JsonProcessingException e) {
                throw new AssertionError("no JSON: " + out, e);
            }
        }
    }

    private final Path directory;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CrankStore store =
            CrankStore.start(SettingsLoader.load(new StoreSettings(), List.of("--listen", "127.0.0.1:0"), Map.of()));
    private final HttpServer daemon;
    private volatile Optional<DaemonStatus> status = Optional.empty();

    CtlSite(Path directory) {
        this.directory = directory;
        daemon = HttpServer.listen(
                group,
                HostAddress.parse("127.0.0.1:0"),
                HttpServerOptions.DEFAULTS,
                (call, closed) ->
                        CompletableFuture.completedFuture(status.map(s -> HttpResponse.json(200, JsonCodec.encode(s)))
                                .orElseGet(() -> HttpResponse.text(UNAVAILABLE, "down"))));
        try (ObjectStore client = PluginRegistry.load()
                .get(PluginRegistry.Kind.STORE, HttpAdapterPlugin.NAME)
                .open(store.address(), TIMEOUT_MS)) {
            put(client, ObjectNames.member(OWNER), JsonCodec.encode(member(OWNER, MemberState.ACTIVE)));
            MemberId former = new MemberId("desk-1.former");
            put(client, ObjectNames.member(former), JsonCodec.encode(member(former, MemberState.SEALED)));
            RangeAssignment assignment = new RangeAssignment(OWNED, OWNER, FENCE, List.of());
            put(
                    client,
                    ObjectNames.assignments(DESK),
                    TableCodec.encode(new AssignmentTable(DESK, new Generation(4), List.of(assignment))));
        }
    }

    private static void put(ObjectStore client, String name, byte[] value) {
        client.put(name, value, Revision.NONE).join();
    }

    private Member member(MemberId id, MemberState state) {
        BackendInfo backend = new BackendInfo("desk-1", DESK, HostAddress.parse("127.0.0.1:1"), 18, 110, Set.of());
        return new Member(
                id,
                HostAddress.parse("127.0.0.1:1"),
                HostAddress.parse("127.0.0.1:1"),
                daemon.address(),
                new Region("cornwall"),
                new FailureDomain("montego"),
                state,
                Optional.of(backend),
                List.of());
    }

    /** Lets the daemon of the live member answer. */
    void daemonShows(long configurationRevision, long leaseRemainingMs, List<ServingRange> serving) {
        status = Optional.of(new DaemonStatus(
                OWNER,
                new Region("cornwall"),
                new FailureDomain("montego"),
                MemberState.ACTIVE,
                new Revision(configurationRevision),
                Map.of(DESK, new Generation(4)),
                leaseRemainingMs,
                false,
                false,
                Optional.of("desk-1"),
                0,
                0,
                serving));
    }

    void daemonDown() {
        status = Optional.empty();
    }

    void storeDown() {
        store.close();
    }

    /** Runs a command line with flags of the form {@code --name=value}. */
    Run run(String line) {
        List<String> arguments = new ArrayList<>(line.isEmpty() ? List.of() : List.of(line.split(" ")));
        Map<String, String> environment = Map.of("CRANK_STORE", store.address().toString(), "CRANK_TIMEOUT_MS", "300");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int exitCode = CrankCtl.run(arguments, environment, print(out), print(err));
        return new Run(exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    /** Runs a command with a release note in a file. */
    Run run(String line, String note) {
        try {
            Path file = Files.createTempFile(directory, "note", ".json");
            Files.writeString(file, note);
            return run(line + " --file=" + file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static PrintStream print(ByteArrayOutputStream out) {
        return new PrintStream(out, true, StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        daemon.close();
        store.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
