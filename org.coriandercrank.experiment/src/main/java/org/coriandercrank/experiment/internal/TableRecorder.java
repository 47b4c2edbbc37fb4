package org.coriandercrank.experiment.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.coriandercrank.experiment.internal.OwnerChange.ObservedTable;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.TableCodec;
import org.coriandercrank.kernel.store.WatchBatch;

/**
 * Records the assignment tables of a cluster with one service by watching the store.
 *
 * <p>Thread safe. Of several tables written between two watch requests, only the last one is recorded.
 */
final class TableRecorder implements AutoCloseable {
    private static final long WATCH_WAIT_MS = 1_000;
    private static final long RETRY_DELAY_MS = 50;

    private final ObjectStore store;
    private final List<ObservedTable> tables = new ArrayList<>();
    private final Thread thread = new Thread(this::recordTables, "table-recorder");
    private volatile boolean closed;

    TableRecorder(ObjectStore store) {
        this.store = store;
        thread.setDaemon(true);
        thread.start();
    }

    private void recordTables() {
        Revision afterRevision = Revision.NONE;
        while (!closed) {
            try {
                WatchBatch batch = store.watch(ObjectNames.ASSIGNMENTS_PREFIX, afterRevision, WATCH_WAIT_MS)
                        .join();
                batch.changes().forEach(this::addTable);
                afterRevision = batch.upTo();
            } catch (CompletionException e) {
                Await.sleep(RETRY_DELAY_MS);
            }
        }
    }

    private synchronized void addTable(StoredObject object) {
        tables.add(new ObservedTable(System.nanoTime(), TableCodec.decode(object.value())));
    }

    /** Returns all tables recorded so far, by ascending generation. */
    synchronized List<ObservedTable> tables() {
        return List.copyOf(tables);
    }

    @Override
    public void close() {
        closed = true;
        try {
            thread.join(2 * WATCH_WAIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
