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
 * A cluster for tests of {@code crankctl}. Not thread safe.
 *
 * <p>A store in this process holds an active member, a sealed member and an assignment table in which only the lower
 * half of the hash space has an owner, the active member. An HTTP server stands in for the daemon of that member and
 * answers with the status that the test sets.
 */
final class CtlTestCluster implements AutoCloseable {
    static final ServiceName SERVICE = new ServiceName("counter-desk");
    static final MemberId OWNER = new MemberId("desk-1.a");
    static final KeyRange OWNED_RANGE = new KeyRange(KeyHash.MIN, KeyHash.parse("7fffffffffffffff"));
    static final Generation OWNER_FENCE = new Generation(3);

    private static final long STORE_TIMEOUT_MS = 5_000;
    private static final int STATUS_UNAVAILABLE = 503;

    /** Exit code and output of a command. Immutable. */
    record CommandResult(int exitCode, String out, String err) {
        JsonNode json() {
            try {
                return JsonCodec.mapper().readTree(out);
            } catch (JsonProcessingException e) {
                throw new AssertionError("output is not JSON: " + out, e);
            }
        }
    }

    private final Path directory;
    private final MultiThreadIoEventLoopGroup eventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CrankStore store =
            CrankStore.start(SettingsLoader.load(new StoreSettings(), List.of("--listen", "127.0.0.1:0"), Map.of()));
    private final HttpServer daemon;
    private volatile Optional<DaemonStatus> daemonStatus = Optional.empty();

    CtlTestCluster(Path directory) {
        this.directory = directory;
        daemon = HttpServer.listen(
                eventLoopGroup,
                HostAddress.parse("127.0.0.1:0"),
                HttpServerOptions.DEFAULTS,
                (request, closed) -> CompletableFuture.completedFuture(daemonStatus
                        .map(status -> HttpResponse.json(200, JsonCodec.encode(status)))
                        .orElseGet(() -> HttpResponse.text(STATUS_UNAVAILABLE, "down"))));
        try (ObjectStore client = PluginRegistry.load()
                .get(PluginRegistry.Kind.STORE, HttpAdapterPlugin.NAME)
                .open(store.address(), STORE_TIMEOUT_MS)) {
            put(client, ObjectNames.member(OWNER), JsonCodec.encode(member(OWNER, MemberState.ACTIVE)));
            MemberId sealedMember = new MemberId("desk-1.former");
            put(client, ObjectNames.member(sealedMember), JsonCodec.encode(member(sealedMember, MemberState.SEALED)));
            RangeAssignment assignment = new RangeAssignment(OWNED_RANGE, OWNER, OWNER_FENCE, List.of());
            put(
                    client,
                    ObjectNames.assignments(SERVICE),
                    TableCodec.encode(new AssignmentTable(SERVICE, new Generation(4), List.of(assignment))));
        }
    }

    private static void put(ObjectStore client, String name, byte[] value) {
        client.put(name, value, Revision.NONE).join();
    }

    private Member member(MemberId id, MemberState state) {
        BackendInfo backend = new BackendInfo("desk-1", SERVICE, HostAddress.parse("127.0.0.1:1"), 18, 110, Set.of());
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

    /** Sets the status with which the daemon of the active member answers. */
    void setDaemonStatus(long configurationRevision, long leaseRemainingMs, List<ServingRange> serving) {
        daemonStatus = Optional.of(new DaemonStatus(
                OWNER,
                new Region("cornwall"),
                new FailureDomain("montego"),
                MemberState.ACTIVE,
                new Revision(configurationRevision),
                Map.of(SERVICE, new Generation(4)),
                leaseRemainingMs,
                false,
                false,
                Optional.of("desk-1"),
                0,
                0,
                serving));
    }

    /** Makes the daemon of the active member answer with status 503. */
    void makeDaemonUnavailable() {
        daemonStatus = Optional.empty();
    }

    void stopStore() {
        store.close();
    }

    /** Runs a command line, whose words are separated by single spaces. */
    CommandResult run(String commandLine) {
        List<String> arguments = new ArrayList<>(commandLine.isEmpty() ? List.of() : List.of(commandLine.split(" ")));
        Map<String, String> environment = Map.of("CRANK_STORE", store.address().toString(), "CRANK_TIMEOUT_MS", "300");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int exitCode = CrankCtl.run(arguments, environment, printStream(out), printStream(err));
        return new CommandResult(exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    /** Writes a release note to a file and runs a command line with that file. */
    CommandResult run(String commandLine, String note) {
        try {
            Path file = Files.createTempFile(directory, "note", ".json");
            Files.writeString(file, note);
            return run(commandLine + " --file=" + file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static PrintStream printStream(ByteArrayOutputStream out) {
        return new PrintStream(out, true, StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        daemon.close();
        store.close();
        eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
