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
import org.coriandercrank.http.HttpAbortException;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpHandler;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.WatchBatch;
import org.coriandercrank.kernel.time.TimerService;

/**
 * HTTP front of {@link StoreState}; see {@code docs/PROTOCOL_STORE.md}. Thread safe: all work runs on the duty, which
 * alone touches the state.
 */
public final class StoreService implements HttpHandler {
    private static final String OBJECTS_PATH = "/v1/objects/";
    private static final String REVISION_HEADER = "crank-revision";
    private static final String EXPECTED_HEADER = "crank-expected-revision";
    private static final long MAX_WAIT_MS = 600_000;

    /** A watch that waits for a change. Confined to the duty. */
    private record PendingWatch(String prefix, long after, CompletableFuture<HttpResponse> result) {}

    private final SingleThreadExecutor executor;
    private final TimerService timers;
    private final StoreState state;
    private final FaultInjector faults;
    private final Set<PendingWatch> waiters = new LinkedHashSet<>();
    private final Map<String, Long> calls = new TreeMap<>();
    private long conflicts;
    private long refused;

    public StoreService(SingleThreadExecutor executor, TimerService timers, StoreState state, FaultInjector faults) {
        this.executor = executor;
        this.timers = timers;
        this.state = state;
        this.faults = faults;
    }

    @Override
    public CompletableFuture<HttpResponse> handle(HttpRequest call, CompletableFuture<Void> closed) {
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        if (!executor.offer(() -> serve(call, closed, result))) {
            result.complete(Responses.notRun(503, "overload"));
        }
        return result;
    }

    private void serve(HttpRequest call, CompletableFuture<Void> closed, CompletableFuture<HttpResponse> result) {
        try {
            QueryStringDecoder target = new QueryStringDecoder(call.target());
            if (target.path().startsWith("/admin/")) {
                result.complete(admin(call));
            } else {
                data(call, target, closed, result);
            }
        } catch (IllegalArgumentException | CrankException e) {
            result.complete(Responses.notRun(400, "malformed"));
        }
    }

    private HttpResponse admin(HttpRequest call) {
        switch (call.method() + " " + call.path()) {
            case "POST /admin/faults" -> {
                faults.add(JsonCodec.decode(call.body(), Fault.class));
                abortWaitersIfDown();
                return Responses.json(200, faults.list());
            }
            case "GET /admin/faults" -> {
                return Responses.json(200, faults.list());
            }
            case "GET /admin/stats" -> {
                return Responses.json(
                        200, new StoreStats(state.revision(), state.size(), calls, conflicts, refused, waiters.size()));
            }
            default -> {
                return HttpResponse.text(404, "not found\n");
            }
        }
    }

    private void abortWaitersIfDown() {
        boolean down = faults.list().stream()
                .anyMatch(fault -> fault.kind() == FaultKind.DOWN || fault.kind() == FaultKind.CLOSED);
        if (down) {
            waiters.forEach(waiter -> waiter.result.completeExceptionally(HttpAbortException.withoutResponse()));
            waiters.clear();
        }
    }

    private void data(
            HttpRequest call,
            QueryStringDecoder target,
            CompletableFuture<Void> closed,
            CompletableFuture<HttpResponse> result) {
        String operation = operation(call, target);
        Runnable work = switch (operation) {
            case "get" -> () -> answer(result, get(name(target)));
            case "list" -> {
                String prefix = parameter(target, "prefix");
                yield () -> answer(result, Responses.json(200, state.list(prefix)));
            }
            case "watch" -> watch(target, closed, result);
            default -> write(operation, call, name(target), result);
        };
        calls.merge(operation, 1L, Long::sum);
        if (faults.isTriggered(FaultKind.DOWN) || faults.isTriggered(FaultKind.SHED)) {
            refused++;
            result.complete(Responses.notRun(503, "down"));
        } else if (faults.isTriggered(FaultKind.CLOSED)) {
            refused++;
            result.completeExceptionally(HttpAbortException.withoutResponse());
        } else {
            Optional<Fault> slow = faults.trigger(FaultKind.SLOW);
            if (slow.isPresent()) {
                timers.once(slow.get().delayMs(), executor, work);
            } else {
                work.run();
            }
        }
    }

    private static String operation(HttpRequest call, QueryStringDecoder target) {
        boolean object = target.path().startsWith(OBJECTS_PATH);
        String method = call.method();
        if (object && Set.of("GET", "PUT", "DELETE").contains(method)) {
            return method.toLowerCase(Locale.ROOT);
        }
        return switch (method + " " + target.path()) {
            case "GET /v1/list" -> "list";
            case "GET /v1/watch" -> "watch";
            default -> throw new IllegalArgumentException("unknown operation");
        };
    }

    private static String name(QueryStringDecoder target) {
        String name = target.path().substring(OBJECTS_PATH.length());
        if (name.isEmpty()) {
            throw new IllegalArgumentException("object name is empty");
        }
        return name;
    }

    private static String parameter(QueryStringDecoder target, String name) {
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

    /** The check and the effect of a write happen in one step of the duty, at the end of a delay. */
    private Runnable write(String operation, HttpRequest call, String name, CompletableFuture<HttpResponse> result) {
        Revision expected = new Revision(Long.parseLong(call.header(EXPECTED_HEADER)
                .orElseThrow(() -> new IllegalArgumentException("expected revision is missing"))));
        Supplier<Optional<Revision>> effect = "put".equals(operation)
                ? () -> state.put(name, call.body(), expected)
                : () -> state.delete(name, expected);
        return () -> {
            Optional<Fault> delayed = faults.trigger(FaultKind.DELAYED_WRITE);
            if (delayed.isPresent()) {
                timers.once(delayed.get().delayMs(), executor, () -> apply(name, effect));
                return;
            }
            HttpResponse reply = apply(name, effect);
            if (faults.isTriggered(FaultKind.UNANSWERED)) {
                result.completeExceptionally(HttpAbortException.withoutResponse());
            } else {
                answer(result, reply);
            }
        };
    }

    private void answer(CompletableFuture<HttpResponse> result, HttpResponse reply) {
        if (faults.isTriggered(FaultKind.CUT_ANSWER)) {
            result.completeExceptionally(HttpAbortException.midResponse(reply));
        } else {
            result.complete(reply);
        }
    }

    private HttpResponse apply(String name, Supplier<Optional<Revision>> effect) {
        Optional<Revision> written = effect.get();
        if (written.isEmpty()) {
            conflicts++;
            return new HttpResponse(409, List.of(revisionHeader(state.revisionOf(name))), new byte[0]);
        }
        notifyWatches(name);
        return new HttpResponse(200, List.of(revisionHeader(written.get())), new byte[0]);
    }

    private void notifyWatches(String name) {
        List<PendingWatch> matching = new ArrayList<>();
        for (PendingWatch waiter : waiters) {
            if (name.startsWith(waiter.prefix)) {
                matching.add(waiter);
            }
        }
        matching.forEach(this::answerWatch);
    }

    private void answerWatch(PendingWatch waiter) {
        if (waiters.remove(waiter)) {
            answer(waiter.result, Responses.json(200, state.changes(waiter.prefix, waiter.after)));
        }
    }

    private Runnable watch(
            QueryStringDecoder target, CompletableFuture<Void> closed, CompletableFuture<HttpResponse> result) {
        String prefix = parameter(target, "prefix");
        long after = Long.parseLong(parameter(target, "after"));
        long waitMs = Math.min(MAX_WAIT_MS, Long.parseLong(parameter(target, "wait-ms")));
        return () -> {
            WatchBatch batch = state.changes(prefix, after);
            if (batch.reset() || !batch.changes().isEmpty() || waitMs <= 0) {
                answer(result, Responses.json(200, batch));
                return;
            }
            PendingWatch waiter = new PendingWatch(prefix, after, result);
            waiters.add(waiter);
            TimerService.Subscription timeout = timers.once(waitMs, executor, () -> answerWatch(waiter));
            result.whenComplete((reply, failure) -> timeout.cancel());
            closed.thenRun(() -> executor.offer(() -> waiters.remove(waiter)));
        };
    }
}
