package org.coriandercrank.kernel.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Revision;

/**
 * Client of the platform's object store. Implementations are thread safe and never block the caller.
 *
 * <p>Futures fail with a {@link org.coriandercrank.kernel.code.CrankException}: {@code STORE_UNAVAILABLE} if the call
 * definitely had no effect, {@code WRITE_UNANSWERED} if a write may still take effect at any later time, {@code
 * REVISION_CONFLICT} if the object does not have the expected revision, {@code STORE_MALFORMED} if the answer cannot be
 * read. Each call counts against the rate limits of the store; a watch counts as one call, however long it waits.
 *
 * <p>The store may return from an older copy of itself; a new era then begins. All revisions in an answer have the era of
 * the answer, also those of objects that were written before it. A write that expects a revision of an earlier era than
 * the latest known one fails with {@code REVISION_CONFLICT}; one that takes effect in another era than that of the
 * expected revision fails with {@code WRITE_UNANSWERED}. A watch from a revision of an earlier era returns a complete
 * listing.
 *
 * <p>Cancelling the future of a read, listing or watch ends its request at once, also that of the listing that follows a
 * watch, and frees what the request occupies. Cancelling the future of a write has no effect on the write.
 */
public interface ObjectStore extends AutoCloseable {
    /** The object, or empty if it does not exist. */
    CompletableFuture<Optional<StoredObject>> get(String name);

    /** All objects whose names start with a prefix, and the revision up to which the listing is complete. */
    CompletableFuture<WatchBatch> list(String prefix);

    /**
     * Writes an object if it has the expected revision. {@link Revision#NONE} means that the object must not exist.
     *
     * @return the new revision
     */
    CompletableFuture<Revision> put(String name, byte[] value, Revision expected);

    /** Deletes an object if it has the expected revision. */
    CompletableFuture<Void> delete(String name, Revision expected);

    /**
     * Waits until an object whose name starts with a prefix changes after a revision. Completes with an empty batch if
     * nothing changes within {@code waitMs} milliseconds.
     */
    CompletableFuture<WatchBatch> watch(String prefix, Revision after, long waitMs);

    /** Returns the latest era that an answer has named; never decreases. */
    default Era era() {
        return Era.NONE;
    }

    @Override
    void close();
}
