package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.internal.Execution.AttachedBackend;
import org.coriandercrank.gate.internal.RequestTable.RangeHistory;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.message.OutcomeQuery;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.ownership.GateStatus;
import org.coriandercrank.kernel.ownership.GateStatus.ServingRange;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * Combines the components of an owner gate.
 *
 * <p>All methods run on the thread of the gate, except {@link #status()}, {@link #rangeLoads()}, {@link #load()} and
 * {@link #mayHoldEarlierGrant}, which are thread safe.
 */
public final class GateCore {
    private static final long LOAD_UPDATE_INTERVAL_MS = 500;

    private final GateContext context;
    private final RangeTable rangeTable = new RangeTable();
    private final RecordTable recordTable;
    private final BarredRequestIds barredIds;
    private final ExecutedIdFilter executedIds;
    private final RequestTable requestTable;
    private final GrantManager grants;
    private final RangeService rangeService;
    private final RequestService requestService;
    private final DrainState drainState;
    private final List<AttachedBackend> replacedBackends = new ArrayList<>();
    private final long startedAtNanos;
    private AttachedBackend backend;

    /** Whether the process of the latest backend server is known to have ended. */
    private boolean serverEnded;

    private long loadsUpdatedAtNanos;
    private volatile GateStatus publishedStatus = new GateStatus(false, false, 0, 0, List.of());
    private volatile List<RangeLoad> publishedLoads = List.of();
    private volatile List<KeyRange> publishedUnrevokedRanges = List.of();

    /** The attached backend server, or the one that was attached last and is not known to have ended. */
    private volatile AttachedBackend publishedBackend;

    private volatile GateLoad publishedLoad = GateLoad.NONE;

    public GateCore(GateContext context) {
        this.context = context;
        startedAtNanos = context.nowNanos();
        loadsUpdatedAtNanos = startedAtNanos;
        recordTable = new RecordTable(context.options(), this::onIdempotencyRecordRemoved);
        barredIds = new BarredRequestIds(context.options().maxBarredIds());
        executedIds = new ExecutedIdFilter(startedAtNanos);
        requestTable = new RequestTable(recordTable, barredIds, executedIds);
        grants = new GrantManager(context, rangeTable, this::runPendingWork);
        rangeService = new RangeService(context, rangeTable, recordTable, grants);
        drainState = new DrainState(context);
        requestService = new RequestService(context, rangeTable, grants, requestTable, drainState, this::onCallEnd);
    }

    /** Admits a request, or refuses or answers it immediately; its deadline counts from the time of arrival. */
    public void submit(CallerRequest request, long arrivedAtNanos, CompletableFuture<CallerAnswer> result) {
        requestService.submit(request, arrivedAtNanos, result);
        publishSizes();
    }

    /** Cancels a parked, queued or running request. */
    public void cancel(RequestId id) {
        requestService.cancel(id);
        publishSizes();
    }

    /** Answers an outcome query. */
    public OutcomeAnswer resolve(OutcomeQuery query) {
        if (!query.service().equals(context.dependencies().service())) {
            return OutcomeAnswer.of(OutcomeAnswer.State.UNKNOWN);
        }
        if (requestService.isParked(query.requestId())) {
            return OutcomeAnswer.of(OutcomeAnswer.State.RUNNING);
        }
        long nowNanos = context.nowNanos();
        OutcomeAnswer answer = requestTable.resolve(query.requestId(), rangeHistory(query, nowNanos), nowNanos);
        context.logDecision(() -> "event=resolve request=" + query.requestId() + " state=" + answer.state());
        return answer;
    }

    /**
     * Returns what this gate knows about executions that a query can refer to.
     *
     * <p>A query reaches only the member that the request was sent to. A daemon that restarts may resume its member, so
     * an earlier process may have handled a request that was sent before this gate started. For a request that was sent
     * later, the gate lacks only executions that another gate began after this one released the range. The query cannot
     * refer to one of them any more once the range has been served again for the maximum deadline.
     */
    private RangeHistory rangeHistory(OutcomeQuery query, long nowNanos) {
        ServiceConfig config = context.serviceConfig();
        long sentAgoMs = query.sentAgoMs().orElse(config.maxDeadlineMs());
        if (TimeUnit.MILLISECONDS.toNanos(sentAgoMs) > nowNanos - startedAtNanos) {
            return RangeHistory.INCOMPLETE;
        }
        if (!config.keyed()) {
            return RangeHistory.COMPLETE;
        }
        if (query.keyHash().isEmpty()) {
            return RangeHistory.INCOMPLETE;
        }
        KeyHash hash = query.keyHash().get();
        long windowNanos = TimeUnit.MILLISECONDS.toNanos(config.maxDeadlineMs());
        if (!rangeTable.mayHaveReleased(hash)) {
            return RangeHistory.COMPLETE;
        }
        return rangeTable
                .newest(hash)
                .map(entry -> nowNanos - entry.servingSinceNanos() >= windowNanos
                        ? RangeHistory.COMPLETE
                        : RangeHistory.INCOMPLETE)
                .orElse(RangeHistory.RELEASED);
    }

    /** Uses a backend server in place of the current one, which is closed when its calls have ended. */
    public void attach(BackendInfo info, BackendServer server) {
        if (backend != null) {
            replacedBackends.add(backend);
        }
        backend = new AttachedBackend(info, server);
        serverEnded = false;
        publishedBackend = backend;
        requestService.attach(backend);
        rangeService.attach(backend);
        grants.attach(backend);
        context.logDecision(() -> "event=attach backend=" + info.name() + " slots=" + info.slots() + " capabilities="
                + info.capabilities());
        runPendingWork();
    }

    /**
     * Sends no more requests to the backend server, refuses the queued ones and gives up all ranges. A server whose
     * process is not known to have ended is kept until it has released its ranges or their grants have expired.
     */
    public void detach() {
        if (backend == null) {
            return;
        }
        context.logDecision(() -> "event=detach backend=" + backend.info().name() + " server-ended=" + serverEnded
                + " granted-ms=" + rangeTable.longestGrantMs(context.nowNanos()));
        requestService.refuseQueued(ResultCode.BACKEND_UNAVAILABLE, "the backend server was detached");
        replacedBackends.add(backend);
        backend = null;
        requestService.detach();
        rangeService.detach();
        if (serverEnded) {
            forgetServer();
        } else {
            rangeService.releaseAtMemberEnd(requestService.unsettledCalls());
            grants.retire();
        }
        runPendingWork();
    }

    /** Notes that the process of the backend server has ended; called before or after {@link #detach()}. */
    public void onServerEnded() {
        serverEnded = true;
        requestService.onServerEnded();
        if (backend == null) {
            forgetServer();
            runPendingWork();
        }
    }

    /** Notes that another process is said to have taken the place of the attached backend server; proves no revocation. */
    public void onServerRestarted() {
        requestService.onServerEnded();
    }

    private void forgetServer() {
        publishedBackend = null;
        grants.onServerEnded();
        rangeService.revokeAllRanges();
    }

    /** Notes that the backend server will end as planned. */
    public void onServerLeaving() {
        requestService.onServerLeaving();
    }

    /** Sends no more requests to the backend server, which is about to end, and refuses the queued ones. */
    public void stopSending() {
        requestService.stopSending();
        runPendingWork();
    }

    /** Starts to acquire a range; the future completes when the range is served. */
    public CompletableFuture<Void> acquire(KeyRange range, Generation fence, TransferredRecords transferred) {
        CompletableFuture<Void> result = rangeService.acquire(range, fence, transferred);
        runPendingWork();
        return result;
    }

    /** Starts to release a range; the future completes when no request of the range can be executed any more. */
    public CompletableFuture<TransferredRecords> release(KeyRange range) {
        CompletableFuture<TransferredRecords> result = rangeService.release(range, requestService.unsettledCalls());
        requestService.refuseUnservedRanges();
        runPendingWork();
        return result;
    }

    /**
     * Gives up all ranges of a member that has ended, so that no grant or request under the lease of the next member
     * uses their fencing tokens.
     */
    public void endMember() {
        rangeService.releaseAtMemberEnd(requestService.unsettledCalls());
        requestService.refuseUnservedRanges();
        runPendingWork();
    }

    /** Completes when no backend server can use a range any more that was given up before this call. */
    public CompletableFuture<Void> awaitRevocations() {
        return rangeService.awaitRevocations();
    }

    /** Starts a permanent drain; the future completes when nothing is queued or in flight. */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> result = drainState.requestDrain();
        runPendingWork();
        return result;
    }

    /** Checks deadlines, grants, releases and limits; called periodically. */
    public void tick() {
        long nowNanos = context.nowNanos();
        requestService.expire(rangeService, nowNanos);
        recordTable.expire(nowNanos);
        long windowMs = context.serviceConfig().maxDeadlineMs();
        barredIds.expire(windowMs + context.options().barredIdRetentionMs(), nowNanos);
        executedIds.rotateIfDue(windowMs, nowNanos);
        updateLoads(nowNanos);
        closeReplacedBackends();
        runPendingWork();
    }

    /** Refuses the queued requests; the gate must not be used afterwards. */
    public void close() {
        requestService.close();
    }

    /** Whether requests, acquires or releases are pending, so that {@link #tick} must be called often. */
    public boolean isBusy() {
        return requestService.queued() > 0
                || requestService.inFlight() > 0
                || rangeService.hasReleases()
                || !rangeTable.inState(RangeEntry.State.ACQUIRING).isEmpty();
    }

    public GateStatus status() {
        GateStatus latest = publishedStatus;
        return new GateStatus(
                latest.backendAttached(),
                latest.draining(),
                context.metrics().queued(),
                context.metrics().inFlight(),
                latest.serving());
    }

    public boolean mayHoldEarlierGrant(KeyRange range) {
        AttachedBackend latest = publishedBackend;
        return publishedUnrevokedRanges.stream().anyMatch(range::overlaps)
                || (latest != null && latest.server().mayHoldEarlierGrant(range));
    }

    public GateLoad load() {
        return publishedLoad;
    }

    public List<RangeLoad> rangeLoads() {
        return publishedLoads;
    }

    /** Advances acquires, grants, releases, queued requests and drains as far as possible, and publishes the status. */
    private void runPendingWork() {
        long nowNanos = context.nowNanos();
        rangeService.tick(nowNanos);
        grants.tick(nowNanos);
        rangeService.completeAcquires(nowNanos);
        requestService.processParked(nowNanos);
        rangeService.completeReleases(nowNanos);
        if (drainState.isEvacuated(backend)) {
            requestService.refuseQueued(ResultCode.DRAINING, "the failure domain is evacuated");
        }
        requestService.dispatch();
        drainState.update(backend, requestService.queued(), requestService.inFlight());
        publish();
    }

    private void onCallEnd() {
        if (rangeService.hasReleases() || drainState.isDraining(backend)) {
            runPendingWork();
        } else {
            requestService.dispatch();
            publishSizes();
        }
    }

    private void onIdempotencyRecordRemoved(KeyHash hash, long createdAtNanos) {
        rangeTable.advanceHorizons(hash, createdAtNanos);
        requestService.advanceUnkeyedHorizons(createdAtNanos);
    }

    /** Closes the replaced backend servers whose calls have ended. */
    private void closeReplacedBackends() {
        replacedBackends.removeIf(old -> {
            if (requestService.isInUse(old) || grants.isRevokingAt(old)) {
                return false;
            }
            if (backend == null || !old.server().equals(backend.server())) {
                old.server().close();
            }
            return true;
        });
    }

    private void updateLoads(long nowNanos) {
        if (nowNanos - loadsUpdatedAtNanos < TimeUnit.MILLISECONDS.toNanos(LOAD_UPDATE_INTERVAL_MS)) {
            return;
        }
        loadsUpdatedAtNanos = nowNanos;
        List<RangeLoad> loads = new ArrayList<>();
        for (RangeEntry entry : rangeTable.inState(RangeEntry.State.SERVING)) {
            entry.loadMeter().updateRate(nowNanos);
            loads.add(new RangeLoad(
                    entry.range(),
                    entry.fence(),
                    true,
                    entry.loadMeter().ratePerSecond(),
                    entry.loadMeter().hotHashes()));
        }
        publishedLoads = List.copyOf(loads);
    }

    private void publish() {
        publishSizes();
        publishedUnrevokedRanges = rangeService.unrevokedRanges();
        publishedStatus = new GateStatus(
                backend != null,
                drainState.isDraining(backend),
                requestService.queued(),
                requestService.inFlight(),
                rangeTable.inState(RangeEntry.State.SERVING).stream()
                        .map(e -> new ServingRange(e.range(), e.fence()))
                        .toList());
    }

    private void publishSizes() {
        publishedLoad = requestService.load();
        context.metrics().setSizes(requestService.queued(), requestService.inFlight(), recordTable.size());
    }
}
