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

/** An ingress with fakes around it and an HTTP client that calls it over loopback. */
final class TestWorld implements AutoCloseable {
    static final Charset UTF8 = StandardCharsets.UTF_8;
    static final ServiceName KEYED = new ServiceName("cardfront");
    static final ServiceName BALANCED = new ServiceName("shadebook");
    static final MemberId SELF = new MemberId("self");
    static final HostAddress LOOPBACK = new HostAddress("127.0.0.1", 0);
    private static final long CALL_TIMEOUT_MS = 10_000;

    final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    final SystemTimerService timers = new SystemTimerService();
    final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    final PeerHandlers handlers = new PeerHandlers();
    final FakeGate gate = new FakeGate();
    final FakePeers peers = new FakePeers();
    final FakeView view;
    final Ingress ingress;
    final HostAddress address;
    private final HttpClient client;

    TestWorld(RoutingSnapshot snapshot, IngressOptions options) {
        view = new FakeView(snapshot);
        ingress = new Ingress(
                new IngressDependencies(
                        group,
                        view,
                        gate.gate,
                        peers,
                        handlers,
                        timers,
                        PluginRegistry.load(),
                        new DecisionLog(0, timers.clock()),
                        meters,
                        new Region("east"),
                        new FailureDomain("east-a"),
                        Optional.empty(),
                        SingleThreadExecutor::new),
                options);
        address = ingress.start(LOOPBACK);
        client = new HttpClient(group, address, HttpClientOptions.DEFAULTS);
    }

    /** Options with waits that are short enough for tests. */
    static IngressOptions options(int budgetPercent, int budgetMinPerSecond) {
        return new IngressOptions(
                64,
                24,
                4,
                300,
                200,
                5,
                20,
                100,
                50,
                1_500,
                new RetryBudgetOptions(
                        budgetPercent / 100.0,
                        budgetMinPerSecond,
                        budgetMinPerSecond * 2 + (budgetPercent > 0 ? 100 : 0)),
                5_000,
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

    static RoutingSnapshot ownedBy(String owner, long generation, Member... members) {
        Map<MemberId, VersionedMember> known = Arrays.stream(members)
                .map(m -> new VersionedMember(m, new Revision(1)))
                .collect(Collectors.toMap(k -> k.member().id(), Function.identity()));
        Generation table = new Generation(generation);
        List<RangeAssignment> ranges = owner.isEmpty()
                ? List.of()
                : List.of(new RangeAssignment(KeyRange.ALL, new MemberId(owner), table, List.of()));
        Configuration configuration = new Configuration(
                List.of(ServiceConfig.withDefaults(KEYED, true), ServiceConfig.withDefaults(BALANCED, false)),
                List.of(),
                List.of());
        return new RoutingSnapshot(
                SELF, new Revision(1), configuration, Map.of(KEYED, new AssignmentTable(KEYED, table, ranges)), known);
    }

    HttpResponse call(String method, String target, Header... headers) {
        return client.send(new HttpRequest(method, target, List.of(headers), new byte[0]), CALL_TIMEOUT_MS)
                .join();
    }

    double count(String meter) {
        return meters.get(meter).counter().count();
    }

    @Override
    public void close() {
        client.close();
        ingress.close();
        timers.close();
        group.shutdownGracefully();
    }
}
