package org.coriandercrank.control.test;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;

/**
 * In-memory object store in virtual time that simulates outages and returns from an older copy. Daemons learn the era from
 * the positions in the answers. Not thread safe.
 */
final class FakeStore implements ObjectStore {
    /** Behaviour of the store. */
    enum Mode {
        UP,
        /** Calls fail immediately and have no effect. */
        DOWN,
        /** Calls are not answered and have no effect. */
        SILENT,
        /** Watches report no changes but name the current revision; all other calls work. */
        WITHHOLDS_CHANGES,
        /** Calls take effect, but writes are not answered. */
        UNANSWERED_WRITES,
        /** Writes take effect after 3 s and are not answered; reads work. */
        LATE_WRITES
    }

    /** State of the store to which it may return. */
    record Copy(Map<String, StoredObject> objects, long lastRevision) {}

    private static final long DEFAULT_LATENCY_MS = 2;
    private static final long LATE_WRITE_DELAY_MS = 3_000;
    private static final long WATCH_POLL_MS = 10;

    private final VirtualTime time;
    private final Map<String, StoredObject> objects = new HashMap<>();
    private Mode mode = Mode.UP;
    private long latencyMs = DEFAULT_LATENCY_MS;
    private long lastRevision = 100;
    private Era era = Era.NONE;
    private final Map<String, Long> callsByOperation = new TreeMap<>();
    /** Revision of the latest change of the objects whose names begin with a prefix. */
    private final Map<String, Revision> latestChanges = new HashMap<>();

    private long calls;
    private long puts;

    FakeStore(VirtualTime time) {
        this.time = time;
    }

    void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Sets the time that each answer takes. */
    void setLatencyMs(long newLatencyMs) {
        latencyMs = newLatencyMs;
    }

    /** Sets the usual latency and mode. */
    void restore() {
        mode = Mode.UP;
        latencyMs = DEFAULT_LATENCY_MS;
    }

    long calls() {
        return calls;
    }

    long puts() {
        return puts;
    }

    /** Returns the numbers of calls by operation and prefix, for messages of tests. */
    Map<String, Long> callsByOperation() {
        return callsByOperation;
    }

    Copy copy() {
        return new Copy(Map.copyOf(objects), lastRevision);
    }

    /** Begins a new era with the objects of a copy; all of them get revisions of the new era. */
    void returnFrom(Copy copy) {
        era = new Era(era.value() + 1);
        lastRevision = copy.lastRevision();
        objects.clear();
        latestChanges.clear();
        copy.objects().values().forEach(object -> {
            Revision revision = Revision.of(era, object.revision().number());
            objects.put(object.name(), new StoredObject(object.name(), revision, object.value(), object.deleted()));
            latestChanges.merge(prefix(object.name()), revision, (a, b) -> a.isNewerThan(b) ? a : b);
        });
    }

    private Revision position() {
        return Revision.of(era, lastRevision);
    }

    private void count(String operation, String name) {
        calls++;
        callsByOperation.merge(operation + " " + prefix(name), 1L, Long::sum);
    }

    /** Returns the part of an object's name up to its slash, which is the prefix of its kind. */
    private static String prefix(String name) {
        return name.substring(0, name.indexOf('/') + 1);
    }

    /** Writes an object without a revision check, as an operator's tool does. */
    Revision putUnconditionally(String name, byte[] value) {
        lastRevision++;
        objects.put(name, StoredObject.of(name, position(), value));
        latestChanges.put(prefix(name), position());
        return position();
    }

    void deleteUnconditionally(String name) {
        lastRevision++;
        objects.put(name, new StoredObject(name, position(), new byte[0], true));
        latestChanges.put(prefix(name), position());
    }

    Optional<StoredObject> find(String name) {
        return Optional.ofNullable(objects.get(name)).filter(object -> !object.deleted());
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(String name) {
        count("get", name);
        return read(() -> find(name));
    }

    @Override
    public CompletableFuture<WatchBatch> list(String prefix) {
        count("list", prefix);
        return read(() -> new WatchBatch(position(), changes(prefix, Revision.NONE, false), true));
    }

    @Override
    public CompletableFuture<Revision> put(String name, byte[] value, Revision expected) {
        count("put", name);
        puts++;
        CompletableFuture<Revision> result = new CompletableFuture<>();
        Mode atCall = mode;
        if (atCall == Mode.DOWN) {
            time.schedule(latencyMs, () -> result.completeExceptionally(failure(ResultCode.STORE_UNAVAILABLE)));
        } else if (atCall != Mode.SILENT) {
            time.schedule(atCall == Mode.LATE_WRITES ? LATE_WRITE_DELAY_MS : latencyMs, () -> {
                Revision current = find(name).map(StoredObject::revision).orElse(Revision.NONE);
                boolean matches = current.equals(expected);
                Revision written = matches ? putUnconditionally(name, value) : Revision.NONE;
                if (atCall == Mode.UP && matches) {
                    result.complete(written);
                } else if (atCall == Mode.UP) {
                    result.completeExceptionally(failure(ResultCode.REVISION_CONFLICT));
                }
            });
        }
        return result;
    }

    @Override
    public CompletableFuture<Void> delete(String name, Revision expected) {
        throw new UnsupportedOperationException("not used by the control plane");
    }

    @Override
    public CompletableFuture<WatchBatch> watch(String prefix, Revision after, long waitMs) {
        count("watch", prefix);
        CompletableFuture<WatchBatch> result = new CompletableFuture<>();
        poll(prefix, after, time.nowMs() + waitMs, result);
        return result;
    }

    @Override
    public void close() {}

    private void poll(String prefix, Revision after, long endMs, CompletableFuture<WatchBatch> result) {
        if (mode == Mode.SILENT) {
            return;
        }
        if (mode == Mode.DOWN) {
            time.schedule(latencyMs, () -> result.completeExceptionally(failure(ResultCode.STORE_UNAVAILABLE)));
            return;
        }
        if (era.isNewerThan(after.era()) && !after.equals(Revision.NONE)) {
            WatchBatch listing = new WatchBatch(position(), changes(prefix, Revision.NONE, false), true);
            time.schedule(latencyMs, () -> result.complete(listing));
            return;
        }
        boolean changed = mode != Mode.WITHHOLDS_CHANGES
                && latestChanges.getOrDefault(prefix, Revision.NONE).isNewerThan(after);
        List<StoredObject> changes = changed ? changes(prefix, after, true) : List.of();
        if (!changes.isEmpty() || time.nowMs() >= endMs) {
            Revision upTo = position();
            time.schedule(latencyMs, () -> result.complete(new WatchBatch(upTo, changes, false)));
        } else {
            time.schedule(WATCH_POLL_MS, () -> poll(prefix, after, endMs, result));
        }
    }

    private <T> CompletableFuture<T> read(Supplier<T> value) {
        CompletableFuture<T> result = new CompletableFuture<>();
        if (mode == Mode.DOWN) {
            time.schedule(latencyMs, () -> result.completeExceptionally(failure(ResultCode.STORE_UNAVAILABLE)));
        } else if (mode != Mode.SILENT) {
            time.schedule(latencyMs, () -> result.complete(value.get()));
        }
        return result;
    }

    private List<StoredObject> changes(String prefix, Revision after, boolean withDeletions) {
        List<StoredObject> result = new ArrayList<>();
        for (StoredObject object : objects.values()) {
            if (object.name().startsWith(prefix)
                    && object.revision().isNewerThan(after)
                    && (withDeletions || !object.deleted())) {
                result.add(object);
            }
        }
        result.sort(Comparator.comparing(StoredObject::revision));
        return result;
    }

    private static CrankException failure(ResultCode code) {
        return new CrankException(code, "fake store");
    }
}
