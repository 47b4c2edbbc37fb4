package org.coriandercrank.ingress;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.kernel.time.SystemTimerService;
import org.coriandercrank.scheduling.link.Uplink;

/** An {@link Ingress} with fake collaborators, and an HTTP client that is connected to it over loopback. */
final class IngressFixture implements AutoCloseable {
    static final Charset UTF8 = StandardCharsets.UTF_8;
    static final ServiceName KEYED_SERVICE = new ServiceName("cardfront");
    static final ServiceName UNKEYED_SERVICE = new ServiceName("shadebook");
    static final MemberId SELF = new MemberId("self");
    static final HostAddress LOOPBACK = new HostAddress("127.0.0.1", 0);
    private static final long RESPONSE_TIMEOUT_MS = 10_000;

    final EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    final SystemTimerService timers = new SystemTimerService();
    final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    final PeerHandlers peerHandlers = new PeerHandlers();
    final FakeGate gate = new FakeGate();
    final FakePeers peers = new FakePeers();
    final FakeQuarantine quarantine = new FakeQuarantine();
    final FakeConfigurationProof configurationProof = new FakeConfigurationProof();
    final FakeView view;
    final Ingress ingress;
    final HostAddress address;
    private final HttpClient client;

    IngressFixture(RoutingSnapshot snapshot, IngressOptions options) {
        this(snapshot, options, 0);
    }

    IngressFixture(RoutingSnapshot snapshot, IngressOptions options, long logLinesPerSecond) {
        this(snapshot, options, logLinesPerSecond, Optional.empty());
    }

    IngressFixture(RoutingSnapshot snapshot, IngressOptions options, CallerProtocol protocol) {
        this(snapshot, options, 0, Optional.of(protocol));
    }

    private IngressFixture(
            RoutingSnapshot snapshot,
            IngressOptions options,
            long logLinesPerSecond,
            Optional<CallerProtocol> protocol) {
        view = new FakeView(snapshot);
        ingress = new Ingress(
                new IngressDependencies(
                        eventLoopGroup,
                        view,
                        gate.ownerGate,
                        peers,
                        peerHandlers,
                        timers,
                        PluginRegistry.load(),
                        new DecisionLog(logLinesPerSecond, timers.clock()),
                        meters,
                        new Region("east"),
                        new FailureDomain("east-a"),
                        protocol,
                        SingleThreadExecutor::new,
                        quarantine,
                        configurationProof,
                        timers.clock(),
                        Uplink.UNLIMITED),
                options);
        address = ingress.start(LOOPBACK);
        client = new HttpClient(eventLoopGroup, address, HttpClientOptions.DEFAULTS);
    }

    /** Options with short timeouts. */
    static IngressOptions options(int retriesPercentOfRequests, int retriesPerSecond) {
        return new IngressOptions(
                /* maxInFlight= */ 64,
                /* maxSendsPerRequest= */ 24,
                /* maxAttemptIdsPerRequest= */ 4,
                /* rangeMoveWaitMs= */ 300,
                /* ownerLostWaitMs= */ 200,
                /* backoffStepMs= */ 5,
                /* maxBackoffMs= */ 20,
                /* outcomeQueryTimeoutMs= */ 100,
                /* answerGracePeriodMs= */ 50,
                /* defaultRetryAfterMs= */ 1_500,
                new RetryBudgetOptions(
                        retriesPercentOfRequests / 100.0,
                        retriesPerSecond,
                        retriesPerSecond * 2 + (retriesPercentOfRequests > 0 ? 100 : 0),
                        Double.POSITIVE_INFINITY),
                /* drainWriteTimeoutMs= */ 5_000,
                OutlierDetectionOptions.DEFAULTS);
    }

    static Member member(String id, String region, ServiceName service, MemberState state) {
        return new Member(
                new MemberId(id),
                LOOPBACK,
                LOOPBACK,
                LOOPBACK,
                new Region(region),
                new FailureDomain(region + "-a"),
                state,
                Optional.of(new BackendInfo("b-" + id, service, LOOPBACK, 12, 110, Set.of())),
                List.of());
    }

    /**
     * A snapshot in which one member owns all keys of {@link #KEYED_SERVICE}.
     *
     * @param owner empty for a table without an owner
     */
    static RoutingSnapshot snapshotOwnedBy(String owner, long generation, Member... members) {
        Map<MemberId, VersionedMember> versionedMembers = Arrays.stream(members)
                .map(m -> new VersionedMember(m, new Revision(1)))
                .collect(Collectors.toMap(k -> k.member().id(), Function.identity()));
        Generation tableGeneration = new Generation(generation);
        List<RangeAssignment> ranges = owner.isEmpty()
                ? List.of()
                : List.of(new RangeAssignment(KeyRange.ALL, new MemberId(owner), tableGeneration, List.of()));
        Configuration configuration = new Configuration(
                List.of(
                        ServiceConfig.withDefaults(KEYED_SERVICE, true),
                        ServiceConfig.withDefaults(UNKEYED_SERVICE, false)),
                List.of(),
                List.of());
        return new RoutingSnapshot(
                SELF,
                new Revision(1),
                configuration,
                Map.of(KEYED_SERVICE, new AssignmentTable(KEYED_SERVICE, tableGeneration, ranges)),
                versionedMembers);
    }

    static RoutingSnapshot evacuate(RoutingSnapshot snapshot, FailureDomain... domains) {
        return new RoutingSnapshot(
                snapshot.self(),
                snapshot.configurationRevision(),
                snapshot.configuration(),
                snapshot.tables(),
                snapshot.members(),
                Set.of(domains));
    }

    HttpResponse send(String method, String target, Header... headers) {
        return client.send(new HttpRequest(method, target, List.of(headers), new byte[0]), RESPONSE_TIMEOUT_MS)
                .join();
    }

    double counterValue(String meter) {
        return meters.get(meter).counter().count();
    }

    @Override
    public void close() {
        client.close();
        ingress.close();
        timers.close();
        eventLoopGroup.shutdownGracefully();
    }
}
