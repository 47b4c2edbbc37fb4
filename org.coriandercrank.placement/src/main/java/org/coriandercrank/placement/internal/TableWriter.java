package org.coriandercrank.placement.internal;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.TableCodec;
import org.coriandercrank.kernel.table.AssignmentTable;

/**
 * Writes tables to the store. Thread safe.
 *
 * <p>A table is read immediately before a decision and written only if its revision has not changed since. So a
 * decision is always based on the table that it replaces. A table is not written in a later era than that of its
 * generation.
 */
public final class TableWriter {
    /**
     * The outcome of a write. Immutable.
     *
     * @param table the latest table known to be in the store
     * @param written the decision, if its table was written
     */
    public record Outcome(AssignmentTable table, Optional<TablePlanner.Decision> written) {}

    private final ObjectStore store;
    private final BiConsumer<AssignmentTable, StoredObject> onWritten;

    /**
     * Creates a writer.
     *
     * @param onWritten called with a table and its stored object when the store confirms the write
     */
    public TableWriter(ObjectStore store, BiConsumer<AssignmentTable, StoredObject> onWritten) {
        this.store = store;
        this.onWritten = onWritten;
    }

    /**
     * Reads the table of a service, lets the caller decide on the next table and writes it.
     *
     * @param decide called on the executor with the table that was read
     * @return the outcome; fails if a call to the store fails, but a revision conflict gives an outcome without a
     *     written decision
     */
    public CompletableFuture<Outcome> write(
            ServiceName service,
            Executor executor,
            Function<AssignmentTable, CompletableFuture<Optional<TablePlanner.Decision>>> decide) {
        String name = ObjectNames.assignments(service);
        return store.get(name)
                .thenComposeAsync(
                        stored -> {
                            AssignmentTable table = decodeTable(service, stored);
                            Revision revision =
                                    stored.map(StoredObject::revision).orElse(Revision.NONE);
                            return decide.apply(table)
                                    .thenComposeAsync(
                                            decision -> decision.isEmpty()
                                                    ? CompletableFuture.completedFuture(new Outcome(table, decision))
                                                    : put(name, service, revision, decision.get()),
                                            executor);
                        },
                        executor);
    }

    private static AssignmentTable decodeTable(ServiceName service, Optional<StoredObject> stored) {
        return stored.map(object -> TableCodec.decode(object.value())).orElse(AssignmentTable.empty(service));
    }

    private CompletableFuture<Outcome> put(
            String name, ServiceName service, Revision revision, TablePlanner.Decision decision) {
        Outcome written = new Outcome(decision.table(), Optional.of(decision));
        byte[] value = TableCodec.encode(decision.table());
        if (store.era().isNewerThan(decision.table().generation().era())) {
            return CompletableFuture.failedFuture(new CrankException(
                    ResultCode.REVISION_CONFLICT,
                    "generation " + decision.table().generation() + " is of an earlier era than " + store.era()));
        }
        return store.put(name, value, revision)
                .handle((newRevision, failure) -> {
                    if (failure == null) {
                        onWritten.accept(decision.table(), StoredObject.of(name, newRevision, value));
                        return CompletableFuture.completedFuture(written);
                    }
                    CrankException cause = CrankException.of(failure);
                    if (cause.code() == ResultCode.REVISION_CONFLICT || cause.code() == ResultCode.WRITE_UNANSWERED) {
                        return readBack(name, service, written);
                    }
                    return CompletableFuture.<Outcome>failedFuture(cause);
                })
                .thenCompose(outcome -> outcome);
    }

    /**
     * Reads the table back to find out whether an unanswered write took effect. If the write is delayed and another
     * table is written first, the write fails, because it is conditional on the old revision.
     */
    private CompletableFuture<Outcome> readBack(String name, ServiceName service, Outcome written) {
        return store.get(name).thenApply(stored -> {
            AssignmentTable table = decodeTable(service, stored);
            boolean sameEra = !store.era().isNewerThan(table.generation().era());
            return sameEra && table.equals(written.table()) ? written : new Outcome(table, Optional.empty());
        });
    }
}
