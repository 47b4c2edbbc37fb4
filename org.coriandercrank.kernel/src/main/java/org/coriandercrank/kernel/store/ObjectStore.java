package org.coriandercrank.kernel.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.id.Revision;

/**
 * The platform's object store. Implementations are thread safe and never block the caller.
 *
 * <p>Futures fail with a {@link org.coriandercrank.kernel.code.CrankException}: {@code STORE_UNAVAILABLE} if the call
 * certainly had no effect, {@code WRITE_UNANSWERED} if a write may take effect at any later time,
 * {@code REVISION_CONFLICT} if the expected revision did not match, {@code STORE_MALFORMED} for an unreadable answer.
 * Each call counts against the rates of the store, a waiting watch as one.
 */
public interface ObjectStore extends AutoCloseable {
    CompletableFuture<Optional<StoredObject>> get(String name);

    /** All objects under a prefix and the revision up to which the listing is complete. */
    CompletableFuture<WatchBatch> list(String prefix);

    /**
     * Writes an object if it has the expected revision; {@link Revision#NONE} means that it must not exist.
     *
     * @return the new revision
     */
    CompletableFuture<Revision> put(String name, byte[] value, Revision expected);

    /** Deletes an object if it has the expected revision. */
    CompletableFuture<Void> delete(String name, Revision expected);

    /** Waits until an object under a prefix changes after a revision; an empty batch after {@code waitMs}. */
    CompletableFuture<WatchBatch> watch(String prefix, Revision after, long waitMs);

    @Override
    void close();
}
