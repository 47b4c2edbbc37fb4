package org.coriandercrank.daemon.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.coriandercrank.kernel.id.Era;

/**
 * The process of the store: objects with the number of their latest write, and copies of itself from which it may return
 * after an outage. Its answers are those of the platform's store. Not thread safe.
 */
final class SimulatedStore {
    /** State of an object after its latest write. Immutable by convention. */
    record Entry(String name, long number, byte[] value, boolean deleted) {}

    /** Content of the store at a moment. */
    private record Copy(Map<String, Entry> entries, long lastNumber) {}

    /** A request that waits for a change of an object whose name begins with a prefix. */
    private record Watcher(String prefix, long afterNumber, Runnable wake) {}

    private static final long FIRST_NUMBER = 100;

    private final SimulatedTime time;
    private final Trace trace;
    private final BiConsumer<String, byte[]> onWrite;
    private final TreeMap<Long, Copy> copiesByTimeMs = new TreeMap<>();
    private List<Watcher> watchers = new ArrayList<>();
    private Map<String, Entry> entries = new TreeMap<>();
    private long lastNumber = FIRST_NUMBER;
    private Era era = new Era(1);
    private boolean away;
    private boolean silentWhileAway;
    private boolean changesWithheld;

    /** @param onWrite called with name and value of each write that takes effect */
    SimulatedStore(SimulatedTime time, Trace trace, BiConsumer<String, byte[]> onWrite) {
        this.time = time;
        this.trace = trace;
        this.onWrite = onWrite;
        copiesByTimeMs.put(0L, new Copy(Map.of(), FIRST_NUMBER));
    }

    Era era() {
        return era;
    }

    long lastNumber() {
        return lastNumber;
    }

    boolean isAway() {
        return away;
    }

    /** Whether requests are not even refused while the store is away. */
    boolean isSilent() {
        return away && silentWhileAway;
    }

    /** Takes the store away for a time; it loses nothing. */
    void goAway(long awayMs, boolean silent) {
        away = true;
        silentWhileAway = silent;
        wakeAll();
        time.schedule(awayMs, () -> away = false);
    }

    /** Takes the store away for a time, after which it returns from a copy that is older than its last write. */
    void returnFromOlderCopy(long awayMs, long copyAgeMs, boolean silent) {
        long copyTimeMs = Math.max(0, time.nowMs() - copyAgeMs);
        goAway(awayMs, silent);
        time.schedule(awayMs, () -> {
            Copy copy = copiesByTimeMs.floorEntry(copyTimeMs).getValue();
            long lost = lastNumber - copy.lastNumber();
            entries = new TreeMap<>(copy.entries());
            lastNumber = copy.lastNumber();
            era = new Era(era.value() + 1);
            copiesByTimeMs.put(time.nowMs(), copy);
            trace.add(() -> "STORE returns, era " + era + " copy of " + copyTimeMs + ", lost " + lost + " writes, last "
                    + lastNumber);
            wakeAll();
        });
    }

    Optional<Entry> find(String name) {
        return Optional.ofNullable(entries.get(name)).filter(entry -> !entry.deleted());
    }

    /** Objects under a prefix that changed after a number, in the order of their changes. */
    List<Entry> changes(String prefix, long afterNumber, boolean withDeletions) {
        return entries.values().stream()
                .filter(entry -> entry.name().startsWith(prefix) && entry.number() > afterNumber)
                .filter(entry -> withDeletions || !entry.deleted())
                .sorted(Comparator.comparingLong(Entry::number))
                .toList();
    }

    /** Changes that a watch shows: as {@link #changes}, but none while they are withheld. */
    List<Entry> watchedChanges(String prefix, long afterNumber) {
        return changesWithheld ? List.of() : changes(prefix, afterNumber, true);
    }

    /** Sets whether watches end without the changes that they waited for, at a number past them. */
    void setChangesWithheld(boolean newWithheld) {
        changesWithheld = newWithheld;
    }

    /** Writes an object if its number is the expected one, 0 if it must not exist; returns the new number or 0. */
    long put(String name, byte[] value, long expectedNumber) {
        if (find(name).map(Entry::number).orElse(0L) != expectedNumber) {
            return 0;
        }
        write(name, value, false);
        onWrite.accept(name, value);
        return lastNumber;
    }

    boolean delete(String name, long expectedNumber) {
        if (find(name).map(Entry::number).orElse(0L) != expectedNumber) {
            return false;
        }
        write(name, new byte[0], true);
        return true;
    }

    /** Writes an object as the operator does, who alone writes it. */
    void overwrite(String name, byte[] value) {
        write(name, value, false);
    }

    /** Calls {@code wake} at the next change under the prefix, or when the store goes away or returns. */
    void onChange(String prefix, long afterNumber, Runnable wake) {
        watchers.add(new Watcher(prefix, afterNumber, wake));
    }

    private void write(String name, byte[] value, boolean deleted) {
        lastNumber++;
        entries.put(name, new Entry(name, lastNumber, value, deleted));
        copiesByTimeMs.put(time.nowMs(), new Copy(new TreeMap<>(entries), lastNumber));
        List<Watcher> woken =
                watchers.stream().filter(w -> name.startsWith(w.prefix())).toList();
        watchers.removeAll(woken);
        woken.forEach(w -> time.schedule(0, w.wake()));
    }

    private void wakeAll() {
        List<Watcher> woken = watchers;
        watchers = new ArrayList<>();
        woken.forEach(w -> time.schedule(0, w.wake()));
    }
}
