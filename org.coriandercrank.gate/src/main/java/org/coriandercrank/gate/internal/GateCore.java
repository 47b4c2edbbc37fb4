package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.internal.Execution.Backend;
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
 * Joins the parts of an owner gate.
 *
 * <p>All methods run on the thread of the gate, except {@link #status()}, {@link #loads()}, {@link #load()} and
 * {@link #mayHold}, which are thread safe.
 */
public final class GateCore {
    private static final long LOAD_ROLL_MS = 500;

    private final GateRuntime runtime;
    private final RangeTable ranges = new RangeTable();
    private final RecordTable records;
    private final BarList bars;
    private final ExecutedFilter executed;
    private final RequestTable requests;
    private final GrantDriver grants;
    private final RangeService rangeService;
    private final RequestService requestService;
    private final DrainState drain;
    private final List<Backend> replaced = new ArrayList<>();
    private final long startedAtNanos;
    private Backend backend;
    private long loadRolledAtNanos;
    private volatile GateStatus published = new GateStatus(false, false, 0, 0, List.of());
    private volatile List<RangeLoad> publishedLoads = List.of();
    private volatile Backend publishedBackend;
    private volatile GateLoad publishedLoad = GateLoad.NONE;

    public GateCore(GateRuntime runtime) {
        this.runtime = runtime;
        startedAtNanos = runtime.nowNanos();
        loadRolledAtNanos = startedAtNanos;
        records = new RecordTable(runtime.options(), this::onKeyedRecordDropped);
        bars = new BarList(runtime.options().maxBarredIds());
        executed = new ExecutedFilter(startedAtNanos);
        requests = new RequestTable(records, bars, executed);
        grants = new GrantDriver(runtime, ranges, this::advance);
        rangeService = new RangeService(runtime, ranges, records, grants);
        drain = new DrainState(runtime);
        requestService = new RequestService(runtime, ranges, grants, requests, drain, this::onCallEnd);
    }

    /** Admits, refuses or answers a request; its deadline counts from the time of arrival. */
    public void submit(CallerRequest request, long arrivedAtNanos, CompletableFuture<CallerAnswer> result) {
        requestService.submit(request, arrivedAtNanos, result);
        publishSizes();
    }

    public void cancel(RequestId id) {
        requestService.cancel(id);
        publishSizes();
    }

    public OutcomeAnswer resolve(OutcomeQuery query) {
        if (!query.service().equals(runtime.inputs().service())) {
            return OutcomeAnswer.of(OutcomeAnswer.State.UNKNOWN);
        }
        if (requestService.isParked(query.requestId())) {
            return OutcomeAnswer.of(OutcomeAnswer.State.RUNNING);
        }
        long nowNanos = runtime.nowNanos();
        OutcomeAnswer answer = requests.resolve(query.requestId(), memoryReachesBack(query, nowNanos), nowNanos);
        runtime.logDecision(() -> "event=resolve request=" + query.requestId() + " state=" + answer.state());
        return answer;
    }

    /**
     * Whether each execution that the query can be about is in the memory of this gate.
     *
     * <p>A query reaches only the member that the request was sent to, and a gate lives no longer than its member. So
     * only executions whose records left with a released range can be missing, and none of them can matter once the
     * range has been served again for the longest deadline.
     */
    private boolean memoryReachesBack(OutcomeQuery query, long nowNanos) {
        ServiceConfig rules = runtime.rules();
        if (!rules.keyed()) {
            return true;
        }
        if (query.keyHash().isEmpty()) {
            return false;
        }
        KeyHash hash = query.keyHash().get();
        long windowNanos = TimeUnit.MILLISECONDS.toNanos(rules.maxDeadlineMs());
        return !ranges.mayHaveReleased(hash)
                || ranges.newest(hash)
                        .map(entry -> nowNanos - entry.servingSinceNanos() >= windowNanos)
                        .orElse(false);
    }

    public void attach(BackendInfo info, BackendServer server) {
        if (backend != null) {
            replaced.add(backend);
        }
        backend = new Backend(info, server);
        publishedBackend = backend;
        requestService.attach(backend);
        rangeService.attach(backend);
        grants.attach(backend);
        runtime.logDecision(() -> "event=attach backend=" + info.name() + " slots=" + info.slots() + " capabilities="
                + info.capabilities());
        advance();
    }

    /** Gives up everything; the backend server can start nothing any more. */
    public void detach() {
        if (backend == null) {
            return;
        }
        runtime.logDecision(() -> "event=detach backend=" + backend.info().name());
        requestService.refuseQueued(ResultCode.BACKEND_UNAVAILABLE, "the backend server is gone");
        replaced.add(backend);
        backend = null;
        publishedBackend = null;
        grants.detach();
        requestService.detach();
        rangeService.attach(null);
        rangeService.revokeAll();
        advance();
    }

    public void stopSending() {
        requestService.stopSending();
        advance();
    }

    public CompletableFuture<Void> acquire(KeyRange range, Generation fence, TransferredRecords inherited) {
        CompletableFuture<Void> result = rangeService.acquire(range, fence, inherited);
        advance();
        return result;
    }

    public CompletableFuture<TransferredRecords> release(KeyRange range) {
        CompletableFuture<TransferredRecords> result = rangeService.release(range, requestService.unsettled());
        requestService.refuseUnserved();
        advance();
        return result;
    }

    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> result = drain.request();
        advance();
        return result;
    }

    /** Examines deadlines, grants, releases and bounds; called at each tick. */
    public void tick() {
        long nowNanos = runtime.nowNanos();
        requestService.expire(rangeService, nowNanos);
        records.expire(nowNanos);
        long windowMs = runtime.rules().maxDeadlineMs();
        bars.expire(windowMs + runtime.options().barredIdRetentionMs(), nowNanos);
        executed.roll(windowMs, nowNanos);
        rollLoads(nowNanos);
        closeReplaced();
        advance();
    }

    /** Refuses what waits; the gate is not used afterwards. */
    public void close() {
        requestService.refuseQueued(ResultCode.DRAINING, "the gate is closed");
    }

    /** Whether requests, grants or releases wait for something, so that ticks must come often. */
    public boolean isBusy() {
        return requestService.queued() > 0
                || requestService.inFlight() > 0
                || rangeService.hasReleases()
                || !ranges.inState(RangeEntry.State.ACQUIRING).isEmpty();
    }

    public GateStatus status() {
        GateStatus latest = published;
        return new GateStatus(
                latest.backendAttached(),
                latest.draining(),
                runtime.metrics().queued(),
                runtime.metrics().inFlight(),
                latest.serving());
    }

    public boolean mayHold(KeyRange range) {
        Backend current = publishedBackend;
        return current != null && current.server().mayHoldEarlierGrant(range);
    }

    public GateLoad load() {
        return publishedLoad;
    }

    public List<RangeLoad> loads() {
        return publishedLoads;
    }

    private void advance() {
        long nowNanos = runtime.nowNanos();
        rangeService.tick(nowNanos);
        grants.tick(nowNanos);
        rangeService.completeAcquires(nowNanos);
        requestService.unpark(nowNanos);
        rangeService.completeReleases(nowNanos);
        requestService.dispatch();
        drain.advance(backend, requestService.queued(), requestService.inFlight());
        publish();
    }

    private void onCallEnd() {
        if (rangeService.hasReleases() || drain.isDraining(backend)) {
            advance();
        } else {
            requestService.dispatch();
            publishSizes();
        }
    }

    private void onKeyedRecordDropped(KeyHash hash, long madeAtNanos) {
        ranges.moveHorizon(hash, madeAtNanos);
        requestService.moveUnkeyedHorizon(madeAtNanos);
    }

    /** Closes the servers that were replaced once their calls have ended. */
    private void closeReplaced() {
        replaced.removeIf(old -> {
            if (requestService.isInUse(old)) {
                return false;
            }
            if (backend == null || !old.server().equals(backend.server())) {
                old.server().close();
            }
            return true;
        });
    }

    private void rollLoads(long nowNanos) {
        if (nowNanos - loadRolledAtNanos < TimeUnit.MILLISECONDS.toNanos(LOAD_ROLL_MS)) {
            return;
        }
        loadRolledAtNanos = nowNanos;
        List<RangeLoad> loads = new ArrayList<>();
        for (RangeEntry entry : ranges.inState(RangeEntry.State.SERVING)) {
            entry.load().roll(nowNanos);
            loads.add(new RangeLoad(
                    entry.range(),
                    entry.fence(),
                    true,
                    entry.load().ratePerSecond(),
                    entry.load().hotHashes()));
        }
        publishedLoads = List.copyOf(loads);
    }

    private void publish() {
        publishSizes();
        published = new GateStatus(
                backend != null,
                drain.isDraining(backend),
                requestService.queued(),
                requestService.inFlight(),
                ranges.inState(RangeEntry.State.SERVING).stream()
                        .map(e -> new ServingRange(e.range(), e.fence()))
                        .toList());
    }

    private void publishSizes() {
        publishedLoad = requestService.load();
        runtime.metrics().setSizes(requestService.queued(), requestService.inFlight(), records.size());
    }
}
