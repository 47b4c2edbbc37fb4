package org.coriandercrank.placement;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.Counter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.HeldRangesQuery;
import org.coriandercrank.kernel.message.HeldRangesReport;
import org.coriandercrank.kernel.message.LoadQuery;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.message.ReleaseAnswer;
import org.coriandercrank.kernel.message.ReleaseRequest;
import org.coriandercrank.kernel.ownership.LeaseView;
import org.coriandercrank.kernel.ownership.OwnerGate;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.StoreEra;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerHandler;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.placement.internal.OwnershipAction;
import org.coriandercrank.placement.internal.OwnershipState;

/**
 * Makes the owner gate serve exactly the ranges that the assignment tables assign to this daemon.
 *
 * <p>Thread safe: all state is confined to the serial executor {@code ownership}. A range is acquired only after each
 * previous owner has released it or is sealed. A range that a table assigns to another member, or whose release another
 * member requests, is released; it is not acquired again on the basis of an older table.
 *
 * <p>A previous owner without a record in the snapshot is looked up in the store, because the tables of a snapshot may
 * be newer than its members. Such an owner counts as sealed only if its record in the store is sealed or missing.
 */
public final class RangeOwnership implements AutoCloseable {
    /** A release request from another member that waits for the release of its range. */
    private record WaitingRequest(ReleaseRequest request, CompletableFuture<ReleaseAnswer> answer) {}

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int TASK_QUEUE_CAPACITY = 8_192; // tasks
    private static final int MAX_SERVICES = 1_024;
    private static final int MAX_WAITING_REQUESTS = 16_384;
    private static final long ENQUEUE_RETRY_MS = 1;

    private final PlacementDependencies dependencies;
    private final LeaseView lease;
    private final OwnerGate gate;
    private final RangeOwnershipOptions options;
    private final SerialExecutor executor;
    private final Map<ServiceName, OwnershipState> states = new HashMap<>();
    private final List<WaitingRequest> waitingRequests = new ArrayList<>();
    private final Counter acquiredRanges;
    private final Counter releasedRanges;
    private final Counter failedGateCalls;
    private boolean sealed;
    private boolean actionsScheduled;
    private final PeerHandler<ReleaseRequest> releaseHandler = this::onReleaseRequest;
    private final PeerHandler<LoadQuery> loadHandler = this::onLoadQuery;
    private final PeerHandler<HeldRangesQuery> heldRangesHandler = this::onHeldRangesQuery;
    private Era latestEra = Era.NONE;
    private TimerService.Subscription tickTimer = () -> {};

    public RangeOwnership(
            PlacementDependencies dependencies, LeaseView lease, OwnerGate gate, RangeOwnershipOptions options) {
        this.dependencies = dependencies;
        executor = dependencies.executorFactory().create("ownership", TASK_QUEUE_CAPACITY);
        this.lease = lease;
        this.gate = gate;
        this.options = options;
        acquiredRanges = dependencies.meterRegistry().counter("crank.ownership.acquired");
        releasedRanges = dependencies.meterRegistry().counter("crank.ownership.released");
        failedGateCalls = dependencies.meterRegistry().counter("crank.ownership.gate.failures");
    }

    /** Registers the peer handlers and starts to apply new assignment tables. Call once. */
    public void start() {
        dependencies.peerHandlers().register(ReleaseRequest.class, releaseHandler);
        dependencies.peerHandlers().register(LoadQuery.class, loadHandler);
        dependencies.peerHandlers().register(HeldRangesQuery.class, heldRangesHandler);
        dependencies.routingView().subscribe(snapshot -> executor.offer(this::applySnapshot));
        tickTimer = dependencies.timers().every(options.tickIntervalMs(), executor, this::applySnapshot);
        enqueue(this::applySnapshot);
    }

    /**
     * Releases every range and acquires none from now on. Call when the record of this daemon is found to be sealed.
     */
    public void seal() {
        enqueue(() -> {
            sealed = true;
            states.values().forEach(OwnershipState::seal);
            performActions();
        });
    }

    /** Stops applying assignment tables; the gate goes on serving the ranges that it has acquired. */
    @Override
    public void close() {
        dependencies.peerHandlers().unregister(ReleaseRequest.class, releaseHandler);
        dependencies.peerHandlers().unregister(LoadQuery.class, loadHandler);
        dependencies.peerHandlers().unregister(HeldRangesQuery.class, heldRangesHandler);
        tickTimer.cancel();
        executor.close();
    }

    /** Queues a task that must not be lost, and retries while the task queue is full. */
    private void enqueue(Runnable task) {
        if (!executor.offer(task)) {
            dependencies.timers().once(ENQUEUE_RETRY_MS, executor, task);
        }
    }

    private long nowMs() {
        return dependencies.timers().clock().nowMs();
    }

    private void applySnapshot() {
        updateEra();
        RoutingSnapshot snapshot = dependencies.routingView().current();
        if (!sealed && snapshot.member(dependencies.self()).map(Member::state).orElse(null) == MemberState.SEALED) {
            sealed = true;
            states.values().forEach(OwnershipState::seal);
        }
        snapshot.tables().forEach((service, table) -> {
            OwnershipState state = states.get(service);
            if (state == null && table.ownedBy(dependencies.self()).isEmpty()) {
                return;
            }
            findOrCreateState(service).ifPresent(s -> s.applyTable(table));
        });
        performActions();
    }

    private Optional<OwnershipState> findOrCreateState(ServiceName service) {
        OwnershipState existing = states.get(service);
        if (existing != null) {
            return Optional.of(existing);
        }
        if (states.size() >= MAX_SERVICES) {
            return Optional.empty();
        }
        OwnershipState state = new OwnershipState(
                dependencies.self(),
                service,
                options.minRetryDelayMs(),
                options.maxRetryDelayMs(),
                options.releaseGraceMs(),
                options.maxRetainedRecords());
        if (sealed) {
            state.seal();
        }
        state.observeEra(latestEra);
        dependencies.routingView().current().table(service).ifPresent(state::applyTable);
        states.put(service, state);
        return Optional.of(state);
    }

    /** Passes the latest era of the store, as known from the store or from other daemons, to the states. */
    private void updateEra() {
        observeEra(dependencies.store().era());
        observeEra(dependencies.routingView().storeEra().era());
        states.values().forEach(state -> state.observeEra(latestEra));
    }

    private void observeEra(Era era) {
        latestEra = era.isNewerThan(latestEra) ? era : latestEra;
    }

    /** Whether the store has the sealed record of a member; one of an earlier era may be lost. */
    private boolean isSealed(RoutingSnapshot snapshot, MemberId id) {
        VersionedMember known = snapshot.members().get(id);
        return known != null
                && known.member().state() == MemberState.SEALED
                && !latestEra.isNewerThan(known.revision().era());
    }

    /**
     * Performs the actions after the tasks that are queued already. A member that leaves gets one message for each of its
     * ranges, so there is one pass for all that have arrived.
     */
    private void scheduleActions() {
        if (!actionsScheduled) {
            actionsScheduled = true;
            enqueue(() -> {
                actionsScheduled = false;
                performActions();
            });
        }
    }

    private void performActions() {
        updateEra();
        RoutingSnapshot snapshot = dependencies.routingView().current();
        Predicate<MemberId> isSealed = id -> isSealed(snapshot, id);
        states.forEach((service, state) -> {
            for (OwnershipAction action : state.poll(nowMs(), isSealed)) {
                perform(service, state, action);
            }
        });
        answerWaitingRequests();
    }

    private void perform(ServiceName service, OwnershipState state, OwnershipAction action) {
        if (action instanceof OwnershipAction.Acquire acquire) {
            acquire(service, state, acquire);
        } else if (action instanceof OwnershipAction.Release release) {
            release(service, state, release);
        } else if (action instanceof OwnershipAction.RequestRelease request) {
            requestRelease(service, state, request);
        }
    }

    private void acquire(ServiceName service, OwnershipState state, OwnershipAction.Acquire action) {
        if (!lease.isValid(dependencies.timers().clock().nowNanos())) {
            state.acquireFailed(action, nowMs());
            return;
        }
        gate.acquire(action.range(), action.fence(), action.transferred())
                .whenComplete((ignored, failure) -> enqueue(() -> {
                    if (failure == null) {
                        acquiredRanges.increment();
                        state.acquireCompleted(action);
                        dependencies
                                .decisionLog()
                                .log(() -> String.format(
                                        "event=range-acquired service=%s range=%s fence=%s records=%d",
                                        service,
                                        action.range(),
                                        action.fence(),
                                        action.transferred().records().size()));
                    } else {
                        logGateFailure("acquire", service, failure);
                        state.acquireFailed(action, nowMs());
                    }
                    scheduleActions();
                }));
    }

    private void release(ServiceName service, OwnershipState state, OwnershipAction.Release action) {
        gate.release(action.range())
                .whenComplete((records, failure) -> enqueue(() -> {
                    if (failure == null) {
                        releasedRanges.increment();
                        state.releaseCompleted(action, records, nowMs());
                        dependencies
                                .decisionLog()
                                .log(() -> String.format(
                                        "event=range-released service=%s range=%s records=%d",
                                        service,
                                        action.range(),
                                        records.records().size()));
                    } else {
                        logGateFailure("release", service, failure);
                        state.releaseFailed(action, nowMs());
                    }
                    scheduleActions();
                }));
    }

    private void logGateFailure(String call, ServiceName service, Throwable failure) {
        failedGateCalls.increment();
        CrankException cause = CrankException.of(failure);
        logger.atWarning().log(
                "event=gate-call-failed call=%s service=%s result=%s reason=%s",
                call, service, cause.code(), cause.getMessage());
    }

    private void requestRelease(ServiceName service, OwnershipState state, OwnershipAction.RequestRelease action) {
        Optional<Member> previousOwner = dependencies.routingView().current().member(action.previousOwner());
        if (previousOwner.isPresent()) {
            sendReleaseRequest(service, state, action, previousOwner.get());
            return;
        }
        dependencies
                .store()
                .get(ObjectNames.member(action.previousOwner()))
                .whenComplete((storedMember, failure) ->
                        enqueue(() -> lookupCompleted(service, state, action, storedMember, failure)));
    }

    private void lookupCompleted(
            ServiceName service,
            OwnershipState state,
            OwnershipAction.RequestRelease action,
            Optional<StoredObject> storedMember,
            Throwable failure) {
        updateEra();
        StoreEra known = dependencies.routingView().storeEra();
        if (failure != null || !known.settled() || latestEra.isNewerThan(known.era())) {
            retryLater(state, action);
            return;
        }
        Optional<Member> member = storedMember
                .map(object -> JsonCodec.decode(object.value(), Member.class))
                .filter(stored -> stored.state() != MemberState.SEALED);
        if (member.isPresent()) {
            sendReleaseRequest(service, state, action, member.get());
        } else {
            state.memberRemoved(action.previousOwner());
            scheduleActions();
        }
    }

    private void sendReleaseRequest(
            ServiceName service, OwnershipState state, OwnershipAction.RequestRelease action, Member member) {
        ReleaseRequest request = new ReleaseRequest(dependencies.self(), service, action.range(), action.fence());
        dependencies
                .peerClient()
                .call(PeerTarget.of(member), request, ReleaseAnswer.class, options.releaseTimeoutMs())
                .whenComplete((answer, failure) -> enqueue(() -> {
                    if (failure != null || !answer.released()) {
                        retryLater(state, action);
                    } else {
                        state.releaseRequestAnswered(action, answer, nowMs());
                        scheduleActions();
                    }
                }));
    }

    private void retryLater(OwnershipState state, OwnershipAction.RequestRelease action) {
        long delayMs = state.releaseRequestFailed(action, nowMs());
        dependencies.timers().once(delayMs, executor, this::scheduleActions);
    }

    private CompletableFuture<ReleaseAnswer> onReleaseRequest(MemberId sender, ReleaseRequest request) {
        if (!sender.equals(request.requester())) {
            return CompletableFuture.failedFuture(new CrankException(
                    ResultCode.WRONG_MEMBER, "release request was not sent by its requester " + request.requester()));
        }
        CompletableFuture<ReleaseAnswer> answer = new CompletableFuture<>();
        boolean queued = executor.offer(() -> {
            if (waitingRequests.size() >= MAX_WAITING_REQUESTS
                    || findOrCreateState(request.service()).isEmpty()) {
                answer.complete(ReleaseAnswer.notReleased());
                return;
            }
            updateEra();
            WaitingRequest waiting = new WaitingRequest(request, answer);
            if (!answerIfReleased(waiting)) {
                waitingRequests.add(waiting);
                dependencies.timers().once(options.maxAnswerDelayMs(), executor, () -> answerNotReleased(answer));
            }
            scheduleActions();
        });
        if (!queued) {
            answer.complete(ReleaseAnswer.notReleased());
        }
        return answer;
    }

    private void answerNotReleased(CompletableFuture<ReleaseAnswer> answer) {
        waitingRequests.removeIf(waiting -> waiting.answer == answer);
        answer.complete(ReleaseAnswer.notReleased());
    }

    private void answerWaitingRequests() {
        waitingRequests.removeIf(this::answerIfReleased);
    }

    private boolean answerIfReleased(WaitingRequest waiting) {
        OwnershipState state = states.get(waiting.request.service());
        Optional<ReleaseAnswer> answer = state.handleReleaseRequest(waiting.request, nowMs())
                .filter(releaseAnswer -> !releaseAnswer.released() || !releaseEarlierGrant(waiting.request.range()));
        answer.ifPresent(waiting.answer::complete);
        return answer.isPresent();
    }

    /**
     * Revokes a grant that an earlier process of this daemon may have left at the backend server.
     *
     * @return whether there may be such a grant; its release is then still running
     */
    private boolean releaseEarlierGrant(KeyRange range) {
        if (!gate.mayHoldEarlierGrant(range)) {
            return false;
        }
        gate.release(range);
        return true;
    }

    private CompletableFuture<HeldRangesReport> onHeldRangesQuery(MemberId sender, HeldRangesQuery query) {
        return executor.call(() -> {
            observeEra(query.era());
            updateEra();
            ServiceName service = ownService();
            OwnershipState state = ownState(service);
            List<HeldRangesReport.Held> served = state.servedRanges();
            boolean complete = !sealed
                    && state.isQuiescent()
                    && lease.isValid(dependencies.timers().clock().nowNanos())
                    && !mayHoldOthers(served);
            return new HeldRangesReport(dependencies.self(), service, latestEra, complete, served);
        });
    }

    /** Whether the backend server may hold ranges besides the given ones, granted by an earlier process. */
    private boolean mayHoldOthers(List<HeldRangesReport.Held> served) {
        List<KeyRange> ranges =
                served.stream().map(HeldRangesReport.Held::range).sorted().toList();
        return KeyRanges.subtract(KeyRange.ALL, ranges).stream().anyMatch(gate::mayHoldEarlierGrant);
    }

    private CompletableFuture<LoadReport> onLoadQuery(MemberId sender, LoadQuery query) {
        return executor.call(() -> {
            ServiceName service = ownService();
            OwnershipState state = ownState(service);
            return new LoadReport(dependencies.self(), service, state.appliedGeneration(), gate.rangeLoads());
        });
    }

    private ServiceName ownService() {
        return dependencies
                .routingView()
                .current()
                .member(dependencies.self())
                .flatMap(Member::backend)
                .map(BackendInfo::service)
                .orElseThrow(() -> new CrankException(ResultCode.STARTING, "no backend server is attached yet"));
    }

    private OwnershipState ownState(ServiceName service) {
        return findOrCreateState(service)
                .orElseThrow(() -> new CrankException(ResultCode.OVERLOADED, "too many keyed services"));
    }
}
