package org.coriandercrank.gate.test;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.coriandercrank.gate.GateDependencies;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.gate.internal.GateContext;
import org.coriandercrank.gate.internal.GateCore;
import org.coriandercrank.gate.internal.GateMetrics;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.BackendRule;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.IdempotencyKey;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.message.OutcomeQuery;
import org.coriandercrank.kernel.ownership.RequestQuarantine;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.BackendInfo.Capability;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.scheduling.link.Uplink;

/** A gate core with a fake backend server in virtual time. Not thread safe. */
final class GateFixture implements RoutingView {
    static final ServiceName SERVICE = new ServiceName("counter-desk");
    static final MemberId SELF = new MemberId("m1");
    static final Set<Capability> ALL_CAPABILITIES = EnumSet.allOf(Capability.class);
    static final KeyRange LOWER_HALF = new KeyRange(KeyHash.MIN, new KeyHash(Long.MAX_VALUE));
    static final KeyRange UPPER_HALF = new KeyRange(new KeyHash(Long.MIN_VALUE), KeyHash.MAX);

    final VirtualTimers timers;
    final MemberId self;
    final FakeBackend backend;
    final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    final GateCore core;
    long leaseEndNanos;
    boolean leaseRenewed = true;
    static final FailureDomain DOMAIN = new FailureDomain("east-a");
    ServiceConfig serviceConfig = ServiceConfig.withDefaults(SERVICE, true);
    List<BackendRule> backendRules = List.of();
    Map<ServiceName, AssignmentTable> assignmentTables = Map.of();
    Set<FailureDomain> evacuatedDomains = Set.of();
    private int nextId;

    GateFixture() {
        this(GateOptions.DEFAULTS.withSlowStartMs(0));
    }

    GateFixture(GateOptions options) {
        this(options, RequestQuarantine.NONE);
    }

    GateFixture(GateOptions options, RequestQuarantine quarantine) {
        this(options, quarantine, new VirtualTimers(), SELF, Uplink.UNLIMITED);
    }

    /** Creates a gate on a host whose link has a rate. */
    GateFixture(VirtualTimers timers, Uplink uplink) {
        this(GateOptions.DEFAULTS.withSlowStartMs(0), RequestQuarantine.NONE, timers, SELF, uplink);
    }

    /** Creates one of several gates that share their timers. */
    GateFixture(GateOptions options, RequestQuarantine quarantine, VirtualTimers timers, MemberId self) {
        this(options, quarantine, timers, self, Uplink.UNLIMITED);
    }

    private GateFixture(
            GateOptions options, RequestQuarantine quarantine, VirtualTimers timers, MemberId self, Uplink uplink) {
        this.timers = timers;
        this.self = self;
        backend = new FakeBackend(timers.clock());
        GateDependencies dependencies = new GateDependencies(
                SERVICE,
                this,
                this::leaseValidUntilNanos,
                timers,
                timers.clock(),
                new DecisionLog(0, timers.clock()),
                meters,
                (name, capacity) -> {
                    throw new UnsupportedOperationException("the gate core runs on the thread of the test");
                },
                quarantine,
                uplink);
        core = new GateCore(new GateContext(dependencies, options, timers, new GateMetrics(meters), () -> false));
        timers.every(options.busyTickMs(), timers, core::tick);
    }

    private long leaseValidUntilNanos() {
        return leaseRenewed ? nowNanos() + TimeUnit.SECONDS.toNanos(2) : leaseEndNanos;
    }

    long nowNanos() {
        return timers.clock().nowNanos();
    }

    void expireLease() {
        leaseRenewed = false;
        leaseEndNanos = nowNanos() - 1;
    }

    /** Stops the renewal of the lease, which then expires after the given time. */
    void stopLeaseRenewal(long remainingMs) {
        leaseRenewed = false;
        leaseEndNanos = nowNanos() + TimeUnit.MILLISECONDS.toNanos(remainingMs);
    }

    void attach(int slots, Set<Capability> capabilities) {
        core.attach(
                new BackendInfo("desk-1", SERVICE, HostAddress.parse("127.0.0.1:9000"), slots, 110, capabilities),
                backend);
        timers.runQueuedTasks();
    }

    /** Attaches a server with all capabilities and serves the whole hash space with complete outcome records. */
    GateFixture startServing(int slots) {
        attach(slots, ALL_CAPABILITIES);
        acquire(KeyRange.ALL, 1, TransferredRecords.NEVER_OWNED);
        return this;
    }

    CompletableFuture<Void> acquire(KeyRange range, long fence, TransferredRecords transferred) {
        CompletableFuture<Void> result = core.acquire(range, new Generation(fence), transferred);
        timers.runQueuedTasks();
        return result;
    }

    CompletableFuture<TransferredRecords> release(KeyRange range) {
        CompletableFuture<TransferredRecords> result = core.release(range);
        timers.runQueuedTasks();
        return result;
    }

    CompletableFuture<CallerAnswer> submit(CallerRequest request) {
        CompletableFuture<CallerAnswer> result = new CompletableFuture<>();
        core.submit(request, nowNanos(), result);
        timers.runQueuedTasks();
        return result;
    }

    /** Queries the outcome of a request that was sent just now. */
    OutcomeAnswer.State resolve(CallerRequest request) {
        return resolve(request, OptionalLong.of(0));
    }

    OutcomeAnswer.State resolve(CallerRequest request, OptionalLong sentAgoMs) {
        return core.resolve(
                        new OutcomeQuery(request.id(), SERVICE, request.key().map(Key::hash), sentAgoMs))
                .state();
    }

    CallerRequest newPost(String key) {
        return request("r" + nextId++, key, "POST", 1_000, null, OptionalLong.empty());
    }

    static CallerRequest request(
            String id, String key, String method, long remainingMs, String idempotencyKey, OptionalLong ageMs) {
        return new CallerRequest(
                new RequestId(id),
                SERVICE,
                Optional.of(new Key(key)),
                method,
                "/tickets",
                List.of(),
                "body".getBytes(StandardCharsets.UTF_8),
                remainingMs,
                Optional.ofNullable(idempotencyKey).map(IdempotencyKey::new),
                ageMs,
                Optional.empty());
    }

    static ResultCode codeOf(CompletableFuture<CallerAnswer> answer) {
        return answer.isDone() ? answer.join().code() : null;
    }

    private Member ownRecord() {
        HostAddress address = HostAddress.parse("127.0.0.1:9001");
        return new Member(
                self,
                address,
                address,
                address,
                new Region("east"),
                DOMAIN,
                MemberState.ACTIVE,
                Optional.empty(),
                List.of());
    }

    @Override
    public RoutingSnapshot current() {
        Configuration configuration = new Configuration(List.of(serviceConfig), backendRules, List.of());
        Map<MemberId, VersionedMember> members = Map.of(self, new VersionedMember(ownRecord(), new Revision(1)));
        return new RoutingSnapshot(self, new Revision(1), configuration, assignmentTables, members, evacuatedDomains);
    }

    @Override
    public void subscribe(Consumer<RoutingSnapshot> listener) {}

    @Override
    public CompletableFuture<RoutingSnapshot> await(Predicate<RoutingSnapshot> condition, long waitMs) {
        return CompletableFuture.completedFuture(current());
    }
}
