package org.coriandercrank.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;

/** A store whose era and answers a test sets. Calls stay unanswered until the test answers them. Not thread safe. */
public final class EraStore implements ObjectStore {
    /** A write that the test answers. */
    public record Put(String name, byte[] value, CompletableFuture<Revision> result) {}

    private final Map<String, Deque<CompletableFuture<Optional<StoredObject>>>> gets = new HashMap<>();
    private final Deque<CompletableFuture<WatchBatch>> lists = new ArrayDeque<>();
    private final Deque<Put> puts = new ArrayDeque<>();
    private Era era;

    public EraStore(Era era) {
        this.era = era;
    }

    public void setEra(Era newEra) {
        era = newEra;
    }

    /** Returns the reads of an object that have not been taken from the queue, oldest first. */
    public Deque<CompletableFuture<Optional<StoredObject>>> gets(String name) {
        return gets.computeIfAbsent(name, unused -> new ArrayDeque<>());
    }

    /** Returns the listings that have not been taken from the queue, oldest first. */
    public Deque<CompletableFuture<WatchBatch>> lists() {
        return lists;
    }

    /** Returns the writes that have not been taken from the queue, oldest first. */
    public Deque<Put> puts() {
        return puts;
    }

    @Override
    public Era era() {
        return era;
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(String name) {
        CompletableFuture<Optional<StoredObject>> result = new CompletableFuture<>();
        gets(name).add(result);
        return result;
    }

    @Override
    public CompletableFuture<Revision> put(String name, byte[] value, Revision expected) {
        Put put = new Put(name, value, new CompletableFuture<>());
        puts.add(put);
        return put.result();
    }

    @Override
    public CompletableFuture<WatchBatch> list(String prefix) {
        CompletableFuture<WatchBatch> result = new CompletableFuture<>();
        lists.add(result);
        return result;
    }

    @Override
    public CompletableFuture<Void> delete(String name, Revision expected) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<WatchBatch> watch(String prefix, Revision after, long waitMs) {
        return new CompletableFuture<>();
    }

    @Override
    public void close() {}
}
