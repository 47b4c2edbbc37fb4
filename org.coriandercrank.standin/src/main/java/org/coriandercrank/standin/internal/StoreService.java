package org.coriandercrank.standin.internal;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.coriandercrank.http.HttpAbortException;
import org.coriandercrank.http.HttpHandler;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;
import org.coriandercrank.kernel.time.TimerService;

/**
 * HTTP interface of {@link StoreState}; see {@code docs/PROTOCOL_STORE.md}. Thread safe: only the executor accesses the
 * state.
 */
public final class StoreService implements HttpHandler {
    private static final String OBJECTS_PATH = "/v1/objects/";
    private static final String REVISION_HEADER = "crank-revision";
    private static final String EXPECTED_HEADER = "crank-expected-revision";
    private static final String ERA_HEADER = "crank-era";
    private static final List<String> OPERATOR_PREFIXES = List.of("config/", "notes/");
    private static final long MAX_WATCH_WAIT_MS = 600_000;

    /** A watch request that waits for a change. Confined to the executor. */
    private record PendingWatch(String prefix, long afterRevision, CompletableFuture<HttpResponse> response) {}

    private final SingleThreadExecutor executor;
    private final TimerService timers;
    private final StoreState state;
    private final FaultInjector faults;
    private final Set<PendingWatch> pendingWatches = new LinkedHashSet<>();
    private final Map<String, Long> requestCounts = new TreeMap<>();
    private final List<Runnable> writesHeldByDrill = new ArrayList<>();
    private Optional<Fault> drill = Optional.empty();
    private long conflictingWrites;
    private long refusedRequests;
    private volatile long publishedEra;

    public StoreService(SingleThreadExecutor executor, TimerService timers, StoreState state, FaultInjector faults) {
        this.executor = executor;
        this.timers = timers;
        this.state = state;
        this.faults = faults;
        this.publishedEra = state.era();
    }

    /** A write may take effect although its client no longer waits for the response. */
    @Override
    public boolean handlesAbandonedRequests() {
        return true;
    }

    @Override
    public CompletableFuture<HttpResponse> handle(HttpRequest request, CompletableFuture<Void> closed) {
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        if (!executor.offer(() -> dispatch(request, closed, response))) {
            response.complete(withEra(Responses.notRun(503, "overload")));
        }
        return response;
    }

    private void dispatch(
            HttpRequest request, CompletableFuture<Void> closed, CompletableFuture<HttpResponse> response) {
        try {
            QueryStringDecoder target = new QueryStringDecoder(request.target());
            if (target.path().startsWith("/admin/")) {
                response.complete(handleAdmin(request));
            } else {
                handleData(request, target, closed, response);
            }
        } catch (IllegalArgumentException | CrankException e) {
            response.complete(withEra(Responses.notRun(400, "malformed")));
        }
    }

    private HttpResponse handleAdmin(HttpRequest request) {
        switch (request.method() + " " + request.path()) {
            case "POST /admin/faults" -> {
                Fault fault = JsonCodec.decode(request.body(), Fault.class);
                if (fault.kind() == FaultKind.OLDER_COPY) {
                    startDrill(fault);
                } else {
                    faults.add(fault);
                    abortPendingWatchesIfDown();
                }
                return Responses.json(200, activeFaults());
            }
            case "GET /admin/faults" -> {
                return Responses.json(200, activeFaults());
            }
            case "GET /admin/stats" -> {
                return Responses.json(
                        200,
                        new StoreStats(
                                state.era(),
                                state.revision(),
                                state.size(),
                                requestCounts,
                                conflictingWrites,
                                refusedRequests,
                                pendingWatches.size()));
            }
            default -> {
                return HttpResponse.text(404, "not found\n");
            }
        }
    }

    private void abortPendingWatchesIfDown() {
        boolean down = faults.activeFaults().stream()
                .anyMatch(fault -> fault.kind() == FaultKind.DOWN || fault.kind() == FaultKind.CLOSED);
        if (down) {
            abortPendingWatches();
        }
    }

    private void abortPendingWatches() {
        pendingWatches.forEach(
                pendingWatch -> pendingWatch.response.completeExceptionally(HttpAbortException.withoutResponse()));
        pendingWatches.clear();
    }

    private List<Fault> activeFaults() {
        return Stream.concat(faults.activeFaults().stream(), drill.stream()).toList();
    }

    private void startDrill(Fault fault) {
        if (drill.isPresent()) {
            throw new IllegalArgumentException("the store is away already");
        }
        drill = Optional.of(fault);
        abortPendingWatches();
        long copyAtMs = timers.clock().nowMs() - fault.delayMs();
        if (fault.durationMs() == 0) {
            endDrill(fault, copyAtMs);
        } else {
            timers.once(fault.durationMs(), executor, () -> endDrill(fault, copyAtMs));
        }
    }

    /** Returns from the copy; delayed writes that became due meanwhile then take effect if their condition holds. */
    private void endDrill(Fault fault, long copyAtMs) {
        List<StoredObject> lost = state.returnToCopy(copyAtMs);
        publishedEra = state.era();
        drill = Optional.empty();
        if (fault.rewriteMs() > 0) {
            lost.stream()
                    .filter(object -> OPERATOR_PREFIXES.stream().anyMatch(object.name()::startsWith))
                    .forEach(object -> rewriteLater(object, fault.rewriteMs()));
        }
        List<Runnable> heldWrites = List.copyOf(writesHeldByDrill);
        writesHeldByDrill.clear();
        heldWrites.forEach(Runnable::run);
    }

    /** Writes a lost version again, unless the object is written by others before. */
    private void rewriteLater(StoredObject lost, long delayMs) {
        Revision expected = state.revisionOf(lost.name());
        Runnable rewrite = () -> apply(lost.name(), () -> state.put(lost.name(), lost.value(), expected));
        timers.once(delayMs, executor, () -> runOutsideDrill(rewrite));
    }

    private void runOutsideDrill(Runnable write) {
        if (drill.isPresent()) {
            writesHeldByDrill.add(write);
        } else {
            write.run();
        }
    }

    /** Handles a request for objects; injected faults apply only to these requests. */
    private void handleData(
            HttpRequest request,
            QueryStringDecoder target,
            CompletableFuture<Void> closed,
            CompletableFuture<HttpResponse> response) {
        String operation = operation(request, target);
        Runnable operationTask = switch (operation) {
            case "get" -> () -> respond(response, get(objectName(target)));
            case "list" -> {
                String prefix = requiredParameter(target, "prefix");
                yield () -> respond(response, Responses.json(200, state.list(prefix)));
            }
            case "watch" -> watch(target, closed, response);
            default -> write(operation, request, objectName(target), response);
        };
        requestCounts.merge(operation, 1L, Long::sum);
        if (drill.isPresent() || faults.triggers(FaultKind.DOWN) || faults.triggers(FaultKind.SHED)) {
            refuse(response);
        } else if (faults.triggers(FaultKind.CLOSED)) {
            refusedRequests++;
            response.completeExceptionally(HttpAbortException.withoutResponse());
        } else {
            Optional<Fault> slow = faults.trigger(FaultKind.SLOW);
            if (slow.isPresent()) {
                timers.once(slow.get().delayMs(), executor, () -> {
                    if (drill.isPresent()) {
                        refuse(response);
                    } else {
                        operationTask.run();
                    }
                });
            } else {
                operationTask.run();
            }
        }
    }

    private void refuse(CompletableFuture<HttpResponse> response) {
        refusedRequests++;
        response.complete(withEra(Responses.notRun(503, "down")));
    }

    private static String operation(HttpRequest request, QueryStringDecoder target) {
        boolean isObjectPath = target.path().startsWith(OBJECTS_PATH);
        String method = request.method();
        if (isObjectPath && Set.of("GET", "PUT", "DELETE").contains(method)) {
            return method.toLowerCase(Locale.ROOT);
        }
        return switch (method + " " + target.path()) {
            case "GET /v1/list" -> "list";
            case "GET /v1/watch" -> "watch";
            default -> throw new IllegalArgumentException("unknown operation");
        };
    }

    private static String objectName(QueryStringDecoder target) {
        String name = target.path().substring(OBJECTS_PATH.length());
        if (name.isEmpty()) {
            throw new IllegalArgumentException("object name is empty");
        }
        return name;
    }

    private static String requiredParameter(QueryStringDecoder target, String name) {
        List<String> values = target.parameters().get(name);
        if (values == null) {
            throw new IllegalArgumentException("parameter " + name + " is missing");
        }
        return values.get(0);
    }

    private HttpResponse get(String name) {
        return state.get(name)
                .map(object -> new HttpResponse(200, List.of(revisionHeader(object.revision())), object.value()))
                .orElseGet(() -> new HttpResponse(404, List.of(revisionHeader(Revision.NONE)), new byte[0]));
    }

    private static Header revisionHeader(Revision revision) {
        return new Header(REVISION_HEADER, revision.toString());
    }

    /** A delayed write checks the expected revision and takes effect in one executor task, at the end of the delay. */
    private Runnable write(
            String operation, HttpRequest request, String name, CompletableFuture<HttpResponse> response) {
        Revision expected = new Revision(Long.parseLong(request.header(EXPECTED_HEADER)
                .orElseThrow(() -> new IllegalArgumentException("expected revision is missing"))));
        Supplier<Optional<Revision>> write = "put".equals(operation)
                ? () -> state.put(name, request.body(), expected)
                : () -> state.delete(name, expected);
        return () -> {
            Optional<Fault> delayed = faults.trigger(FaultKind.DELAYED_WRITE);
            if (delayed.isPresent()) {
                timers.once(delayed.get().delayMs(), executor, () -> runOutsideDrill(() -> apply(name, write)));
                return;
            }
            HttpResponse writeResponse = apply(name, write);
            if (faults.triggers(FaultKind.UNANSWERED)) {
                response.completeExceptionally(HttpAbortException.withoutResponse());
            } else {
                respond(response, writeResponse);
            }
        };
    }

    private void respond(CompletableFuture<HttpResponse> response, HttpResponse content) {
        if (faults.triggers(FaultKind.CUT_ANSWER)) {
            response.completeExceptionally(HttpAbortException.midResponse(withEra(content)));
        } else {
            response.complete(withEra(content));
        }
    }

    private HttpResponse withEra(HttpResponse response) {
        List<Header> headers = new ArrayList<>(response.headers());
        headers.add(new Header(ERA_HEADER, Long.toString(publishedEra)));
        return new HttpResponse(response.status(), headers, response.body());
    }

    private HttpResponse apply(String name, Supplier<Optional<Revision>> write) {
        Optional<Revision> written = write.get();
        if (written.isEmpty()) {
            conflictingWrites++;
            return new HttpResponse(409, List.of(revisionHeader(state.revisionOf(name))), new byte[0]);
        }
        notifyPendingWatches(name);
        return new HttpResponse(200, List.of(revisionHeader(written.get())), new byte[0]);
    }

    private void notifyPendingWatches(String name) {
        List<PendingWatch> matching = new ArrayList<>();
        for (PendingWatch pendingWatch : pendingWatches) {
            if (name.startsWith(pendingWatch.prefix)) {
                matching.add(pendingWatch);
            }
        }
        matching.forEach(this::completeWatch);
    }

    private void completeWatch(PendingWatch pendingWatch) {
        if (pendingWatches.remove(pendingWatch)) {
            respond(
                    pendingWatch.response,
                    Responses.json(200, state.changes(pendingWatch.prefix, pendingWatch.afterRevision)));
        }
    }

    private Runnable watch(
            QueryStringDecoder target, CompletableFuture<Void> closed, CompletableFuture<HttpResponse> response) {
        String prefix = requiredParameter(target, "prefix");
        long afterRevision = Long.parseLong(requiredParameter(target, "after"));
        long waitMs = Math.min(MAX_WATCH_WAIT_MS, Long.parseLong(requiredParameter(target, "wait-ms")));
        return () -> {
            WatchBatch batch = state.changes(prefix, afterRevision);
            if (batch.reset() || !batch.changes().isEmpty() || waitMs <= 0) {
                respond(response, Responses.json(200, batch));
                return;
            }
            PendingWatch pendingWatch = new PendingWatch(prefix, afterRevision, response);
            pendingWatches.add(pendingWatch);
            TimerService.Subscription timeout = timers.once(waitMs, executor, () -> completeWatch(pendingWatch));
            response.whenComplete((completed, failure) -> timeout.cancel());
            closed.thenRun(() -> executor.offer(() -> pendingWatches.remove(pendingWatch)));
        };
    }
}
