package org.coriandercrank.standin.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;
import org.coriandercrank.kernel.time.MonotonicClock;

/**
 * Holds the objects, the global revision counter and the bounded history of changes. Not thread safe; confined to the
 * executor of the store.
 *
 * <p>Invariants: within an era the counter grows by one with each successful put or delete. The history holds every change
 * after {@code historyStartRevision}, but no values, so its memory does not depend on the size of objects. The undo log
 * holds what each write and each return of the last minute replaced, so the state can return to any time in it. All
 * revisions here are plain values of the counter, without an era.
 */
public final class StoreState {
    private static final long UNDO_LOG_MS = 60_000;

    private record Change(String name, long revision) {}

    /** What the state had before a write or a return. Immutable. */
    private sealed interface Undo {
        long atMs();
    }

    /** Undoes a write of one object. */
    private record WriteUndo(
            long atMs,
            String name,
            Optional<StoredObject> previous,
            Optional<Change> droppedChange,
            long historyStartRevision)
            implements Undo {}

    /** Undoes a return to an older copy; the collections are not changed. */
    private record ReturnUndo(
            long atMs,
            NavigableMap<String, StoredObject> objects,
            Deque<Change> history,
            Deque<Undo> undoLog,
            long revision,
            long historyStartRevision)
            implements Undo {}

    private final NavigableMap<String, StoredObject> objects = new TreeMap<>();
    private final Deque<Change> history = new ArrayDeque<>();
    private final Deque<Undo> undoLog = new ArrayDeque<>();
    private final int historyEntries;
    private final MonotonicClock clock;
    private long era;
    private long revision;
    private long historyStartRevision;

    public StoreState(int historyEntries, MonotonicClock clock, long firstEra) {
        this.historyEntries = historyEntries;
        this.clock = clock;
        this.era = firstEra;
    }

    public long era() {
        return era;
    }

    public long revision() {
        return revision;
    }

    public int size() {
        return objects.size();
    }

    public Optional<StoredObject> get(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    /** Returns the revision of an object, or {@link Revision#NONE} if it does not exist. */
    public Revision revisionOf(String name) {
        return get(name).map(StoredObject::revision).orElse(Revision.NONE);
    }

    /** Writes an object and returns its new revision; returns empty if the object did not have the expected one. */
    public Optional<Revision> put(String name, byte[] value, Revision expected) {
        if (!revisionOf(name).equals(expected)) {
            return Optional.empty();
        }
        Revision written = recordChange(name, get(name));
        objects.put(name, StoredObject.of(name, written, value));
        return Optional.of(written);
    }

    /**
     * Deletes an object and returns the revision of the deletion; returns empty if the object does not exist or does
     * not have the expected revision.
     */
    public Optional<Revision> delete(String name, Revision expected) {
        if (expected.equals(Revision.NONE) || !revisionOf(name).equals(expected)) {
            return Optional.empty();
        }
        return Optional.of(recordChange(name, Optional.of(objects.remove(name))));
    }

    private Revision recordChange(String name, Optional<StoredObject> previous) {
        long previousHistoryStart = historyStartRevision;
        Optional<Change> dropped = Optional.empty();
        revision++;
        history.addLast(new Change(name, revision));
        if (history.size() > historyEntries) {
            dropped = Optional.of(history.removeFirst());
            historyStartRevision = dropped.get().revision;
        }
        addUndo(new WriteUndo(clock.nowMs(), name, previous, dropped, previousHistoryStart));
        return new Revision(revision);
    }

    private void addUndo(Undo undo) {
        undoLog.addLast(undo);
        while (undoLog.getFirst().atMs() < undo.atMs() - UNDO_LOG_MS) {
            undoLog.removeFirst();
        }
    }

    /**
     * Returns to the objects, the counter and the history of an earlier time, or the earliest time that the undo log
     * reaches, and begins a new era.
     *
     * @return the objects whose present version is lost, with this version
     */
    public List<StoredObject> returnToCopy(long copyAtMs) {
        ReturnUndo before = new ReturnUndo(
                clock.nowMs(),
                new TreeMap<>(objects),
                new ArrayDeque<>(history),
                new ArrayDeque<>(undoLog),
                revision,
                historyStartRevision);
        while (!undoLog.isEmpty() && undoLog.getLast().atMs() > copyAtMs) {
            Undo undo = undoLog.removeLast();
            if (undo instanceof WriteUndo write) {
                undoWrite(write);
            } else if (undo instanceof ReturnUndo earlierReturn) {
                undoReturn(earlierReturn);
            }
        }
        addUndo(before);
        era++;
        return before.objects().values().stream()
                .filter(object -> !object.equals(objects.get(object.name())))
                .toList();
    }

    private void undoWrite(WriteUndo undo) {
        undo.previous.ifPresentOrElse(object -> objects.put(undo.name, object), () -> objects.remove(undo.name));
        history.removeLast();
        undo.droppedChange.ifPresent(history::addFirst);
        historyStartRevision = undo.historyStartRevision;
        revision--;
    }

    private void undoReturn(ReturnUndo undo) {
        objects.clear();
        objects.putAll(undo.objects);
        history.clear();
        history.addAll(undo.history);
        undoLog.clear();
        undoLog.addAll(undo.undoLog);
        revision = undo.revision;
        historyStartRevision = undo.historyStartRevision;
    }

    /** Returns all objects with a name prefix by ascending revision, in a batch with {@code reset} set. */
    public WatchBatch list(String prefix) {
        List<StoredObject> objectsFound = new ArrayList<>();
        for (StoredObject object : objects.tailMap(prefix, true).values()) {
            if (!object.name().startsWith(prefix)) {
                break;
            }
            objectsFound.add(object);
        }
        objectsFound.sort(Comparator.comparing(StoredObject::revision));
        return new WatchBatch(new Revision(revision), objectsFound, true);
    }

    /**
     * Returns the changes to objects with a name prefix after a revision, or all objects with the prefix if the history
     * does not reach back that far or the revision is from before a restart of the store or a return to an older copy.
     */
    public WatchBatch changes(String prefix, long afterRevision) {
        if (afterRevision < historyStartRevision || afterRevision > revision) {
            return list(prefix);
        }
        List<StoredObject> objectsFound = new ArrayList<>();
        Set<String> namesSeen = new HashSet<>();
        Iterator<Change> newestFirst = history.descendingIterator();
        while (newestFirst.hasNext()) {
            Change change = newestFirst.next();
            if (change.revision <= afterRevision) {
                break;
            }
            if (change.name.startsWith(prefix) && namesSeen.add(change.name)) {
                objectsFound.add(currentObject(change));
            }
        }
        Collections.reverse(objectsFound);
        return new WatchBatch(new Revision(revision), objectsFound, false);
    }

    private StoredObject currentObject(Change change) {
        StoredObject object = objects.get(change.name);
        return object != null
                ? object
                : new StoredObject(change.name, new Revision(change.revision), new byte[0], true);
    }
}
