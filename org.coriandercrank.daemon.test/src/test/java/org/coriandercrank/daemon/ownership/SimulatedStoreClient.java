package org.coriandercrank.daemon.ownership;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.EraTracker;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;

/**
 * Client of a {@link SimulatedStore} that one process uses. It learns the era from the answers that reach it, and follows
 * the rules of the platform's client. Not thread safe.
 */
final class SimulatedStoreClient implements ObjectStore {
    /**
     * Faults of the way to the store.
     *
     * @param lostAnswers probability that the answer to a call is lost
     * @param lateWrites probability that a write takes effect only later
     * @param maxLateMs latest time at which a late write takes effect
     */
    record Faults(double lostAnswers, double lateWrites, int maxLateMs) {
        static final Faults NONE = new Faults(0, 0, 1);
    }

    /** What passes between a process and the store. */
    enum Link {
        OPEN,
        /** Requests reach the store, its answers are lost. */
        REQUESTS_ONLY,
        CUT
    }

    private static final long TIMEOUT_MS = 1_000;
    private static final int MAX_LATENCY_MS = 6;

    /** An answer with the era that it names. */
    private record Answer<T>(Era era, T value) {}

    private final SimulatedTime time;
    private final SimulatedProcess process;
    private final SimulatedStore store;
    private final Supplier<Link> link;
    private final Supplier<Faults> faults;
    private final Random random;
    private final EraTracker eras = new EraTracker();

    /** @param link what passes between the process and the store at present */
    SimulatedStoreClient(
            SimulatedTime time,
            SimulatedProcess process,
            SimulatedStore store,
            Supplier<Link> link,
            Supplier<Faults> faults,
            Random random) {
        this.time = time;
        this.process = process;
        this.store = store;
        this.link = link;
        this.faults = faults;
        this.random = random;
    }

    @Override
    public Era era() {
        return eras.latest();
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(String name) {
        return read(TIMEOUT_MS, () -> store.find(name))
                .thenApply(answer -> answer.value().map(entry -> object(entry, answer.era())));
    }

    @Override
    public CompletableFuture<WatchBatch> list(String prefix) {
        return read(TIMEOUT_MS, () -> batch(store.changes(prefix, 0, false), true))
                .thenApply(Answer::value);
    }

    private WatchBatch batch(List<SimulatedStore.Entry> entries, boolean reset) {
        Era era = store.era();
        return new WatchBatch(
                Revision.of(era, store.lastNumber()),
                entries.stream().map(entry -> object(entry, era)).toList(),
                reset);
    }

    private static StoredObject object(SimulatedStore.Entry entry, Era era) {
        return new StoredObject(entry.name(), Revision.of(era, entry.number()), entry.value(), entry.deleted());
    }

    @Override
    public CompletableFuture<Revision> put(String name, byte[] value, Revision expected) {
        return write(name, expected, () -> store.put(name, value, expected.number()))
                .thenApply(answer -> Revision.of(answer.era(), answer.value()));
    }

    @Override
    public CompletableFuture<Void> delete(String name, Revision expected) {
        return write(name, expected, () -> store.delete(name, expected.number()) ? 1L : 0L)
                .thenApply(answer -> null);
    }

    @Override
    public CompletableFuture<WatchBatch> watch(String prefix, Revision after, long waitMs) {
        if (eras.latest().isNewerThan(after.era()) && !after.equals(Revision.NONE)) {
            return list(prefix);
        }
        CompletableFuture<Answer<Optional<WatchBatch>>> result = new CompletableFuture<>();
        process.schedule(
                waitMs + TIMEOUT_MS, () -> result.completeExceptionally(failure(ResultCode.STORE_UNAVAILABLE)));
        long endMs = time.nowMs() + waitMs;
        time.schedule(latencyMs(), () -> awaitChange(prefix, after.number(), store.era(), endMs, result));
        return result.thenCompose(answer -> {
            eras.observe(answer.era());
            eras.requireLatest(answer.era());
            return answer.value().isEmpty() || answer.era().isNewerThan(after.era())
                    ? list(prefix)
                    : CompletableFuture.completedFuture(answer.value().get());
        });
    }

    /** Answers a watch when there is a change or the wait ends; empty if the history does not reach back. */
    private void awaitChange(
            String prefix,
            long afterNumber,
            Era begunIn,
            long endMs,
            CompletableFuture<Answer<Optional<WatchBatch>>> result) {
        if (result.isDone() || link.get() == Link.CUT || store.isSilent()) {
            return;
        }
        if (store.isAway() || !store.era().equals(begunIn)) {
            answer(() -> result.completeExceptionally(failure(ResultCode.STORE_UNAVAILABLE)));
            return;
        }
        if (afterNumber > store.lastNumber()) {
            Answer<Optional<WatchBatch>> gone = new Answer<>(store.era(), Optional.empty());
            answer(() -> result.complete(gone));
            return;
        }
        List<SimulatedStore.Entry> changes = store.watchedChanges(prefix, afterNumber);
        if (!changes.isEmpty() || time.nowMs() >= endMs) {
            Answer<Optional<WatchBatch>> changed = new Answer<>(store.era(), Optional.of(batch(changes, false)));
            answer(() -> result.complete(changed));
            return;
        }
        boolean[] woken = {false};
        Runnable wake = () -> {
            if (!woken[0]) {
                woken[0] = true;
                awaitChange(prefix, afterNumber, begunIn, endMs, result);
            }
        };
        store.onChange(prefix, afterNumber, wake);
        time.schedule(endMs - time.nowMs(), wake);
    }

    private <T> CompletableFuture<Answer<T>> read(long timeoutMs, Supplier<T> operation) {
        CompletableFuture<Answer<T>> result = new CompletableFuture<>();
        process.schedule(timeoutMs, () -> result.completeExceptionally(failure(ResultCode.STORE_UNAVAILABLE)));
        send(latencyMs(), result, operation);
        return result.thenApply(answer -> {
            eras.observe(answer.era());
            eras.requireLatest(answer.era());
            return answer;
        });
    }

    private CompletableFuture<Answer<Long>> write(String name, Revision expected, Supplier<Long> operation) {
        Era intended;
        try {
            intended = eras.beforeWrite(name, expected);
        } catch (CrankException e) {
            return CompletableFuture.failedFuture(e);
        }
        CompletableFuture<Answer<Long>> result = new CompletableFuture<>();
        process.schedule(TIMEOUT_MS, () -> result.completeExceptionally(failure(ResultCode.WRITE_UNANSWERED)));
        boolean late = random.nextDouble() < faults.get().lateWrites();
        send(late ? random.nextInt(faults.get().maxLateMs()) : latencyMs(), result, operation);
        return result.thenApply(answer -> {
            eras.observe(answer.era());
            if (answer.value() == 0) {
                throw failure(ResultCode.REVISION_CONFLICT);
            }
            eras.afterWrite(name, intended, answer.era());
            return answer;
        });
    }

    private <T> void send(long delayMs, CompletableFuture<Answer<T>> result, Supplier<T> operation) {
        if (link.get() == Link.CUT) {
            return;
        }
        time.schedule(delayMs, () -> {
            if (store.isSilent()) {
                return;
            }
            if (store.isAway()) {
                answer(() -> result.completeExceptionally(failure(ResultCode.STORE_UNAVAILABLE)));
                return;
            }
            Answer<T> answer = new Answer<>(store.era(), operation.get());
            answer(() -> result.complete(answer));
        });
    }

    private void answer(Runnable complete) {
        if (random.nextDouble() < faults.get().lostAnswers()) {
            return;
        }
        time.schedule(latencyMs(), () -> {
            if (link.get() == Link.OPEN) {
                process.run(complete);
            }
        });
    }

    private long latencyMs() {
        return 1L + random.nextInt(MAX_LATENCY_MS);
    }

    private static CrankException failure(ResultCode code) {
        return new CrankException(code, "simulated store");
    }

    @Override
    public void close() {}
}
