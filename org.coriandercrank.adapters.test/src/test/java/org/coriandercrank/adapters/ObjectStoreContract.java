package org.coriandercrank.adapters;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Contract tests for every object store adapter; a subclass supplies a store into which faults can be injected. */
abstract class ObjectStoreContract {
    /** Faults that the contract injects into the store. */
    enum StoreFault {
        NONE,
        /** The port of the store refuses connections. */
        UNREACHABLE,
        /** The store rejects requests; they have no effect. */
        DOWN,
        /** The store closes connections without a response; requests have no effect. */
        CLOSED,
        /** Requests take effect, but are answered only after {@link #FAULT_DELAY_MS}. */
        SLOW,
        /** Writes take effect, but the store closes the connection without a response. */
        UNANSWERED,
        /** Writes take effect after {@link #FAULT_DELAY_MS} and are never answered. */
        DELAYED_WRITE,
        /** Requests take effect, but the store closes the connection in the middle of the response. */
        CUT_ANSWER
    }

    enum Operation {
        GET,
        LIST,
        WATCH,
        PUT,
        DELETE
    }

    /**
     * Timeout of calls; a slow or delayed call takes {@link #FAULT_DELAY_MS}. The first call of a JVM can exceed 150
     * ms.
     */
    static final long CALL_TIMEOUT_MS = 500;

    static final long FAULT_DELAY_MS = 900;

    private static final String NAME = "members/a b+%2F-1";
    private static final byte[] OLD = bytes("old");
    private static final byte[] NEW = bytes("new");

    /** Returns a client of the store under test. */
    abstract ObjectStore store();

    abstract void inject(StoreFault fault) throws Exception;

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a revision of the present era, which only the store can then find not to match. */
    final Revision revision(long number) {
        return Revision.of(store().era(), number);
    }

    private CompletableFuture<?> start(Operation operation, Revision expected) {
        return switch (operation) {
            case GET -> store().get(NAME);
            case LIST -> store().list("members/");
            case WATCH -> store().watch("members/", Revision.NONE, 0);
            case PUT -> store().put(NAME, NEW, expected);
            case DELETE -> store().delete(NAME, expected);
        };
    }

    /** Guards against a lost write reported as without effect, and against a rejection reported as unanswered. */
    @ParameterizedTest
    @CsvSource({
        "NONE,          GET,    OK,                 false",
        "NONE,          LIST,   OK,                 false",
        "NONE,          WATCH,  OK,                 false",
        "NONE,          PUT,    OK,                 true",
        "NONE,          DELETE, OK,                 true",
        "UNREACHABLE,   GET,    STORE_UNAVAILABLE,  false",
        "UNREACHABLE,   PUT,    STORE_UNAVAILABLE,  false",
        "UNREACHABLE,   DELETE, STORE_UNAVAILABLE,  false",
        "DOWN,          GET,    STORE_UNAVAILABLE,  false",
        "DOWN,          WATCH,  STORE_UNAVAILABLE,  false",
        "DOWN,          PUT,    STORE_UNAVAILABLE,  false",
        "DOWN,          DELETE, STORE_UNAVAILABLE,  false",
        "CLOSED,        LIST,   STORE_UNAVAILABLE,  false",
        "CLOSED,        WATCH,  STORE_UNAVAILABLE,  false",
        "CLOSED,        PUT,    WRITE_UNANSWERED,   false",
        "CLOSED,        DELETE, WRITE_UNANSWERED,   false",
        "SLOW,          GET,    STORE_UNAVAILABLE,  false",
        "SLOW,          PUT,    WRITE_UNANSWERED,   true",
        "SLOW,          DELETE, WRITE_UNANSWERED,   true",
        "UNANSWERED,    PUT,    WRITE_UNANSWERED,   true",
        "UNANSWERED,    DELETE, WRITE_UNANSWERED,   true",
        "DELAYED_WRITE, PUT,    WRITE_UNANSWERED,   true",
        "DELAYED_WRITE, DELETE, WRITE_UNANSWERED,   true",
        "CUT_ANSWER,    GET,    STORE_UNAVAILABLE,  false",
        "CUT_ANSWER,    LIST,   STORE_UNAVAILABLE,  false",
        "CUT_ANSWER,    PUT,    WRITE_UNANSWERED,   true",
        "CUT_ANSWER,    DELETE, WRITE_UNANSWERED,   true",
    })
    void reportsResultOfFaultyCall(StoreFault fault, Operation operation, ResultCode expected, boolean takesEffect)
            throws Exception {
        Revision revisionBefore = Await.value(store().put(NAME, OLD, Revision.NONE));
        inject(fault);
        assertThat(Await.code(start(operation, revisionBefore))).isEqualTo(expected);
        inject(StoreFault.NONE);
        if (takesEffect) {
            Await.eventually(() -> !currentRevision().equals(revisionBefore));
        } else {
            Thread.sleep(fault == StoreFault.NONE ? 0 : FAULT_DELAY_MS / 4);
            assertThat(currentRevision()).isEqualTo(revisionBefore);
        }
    }

    private Revision currentRevision() {
        return store().get(NAME).join().map(StoredObject::revision).orElse(Revision.NONE);
    }

    /** Guards against a write that replaces a revision other than the expected one. */
    @ParameterizedTest
    @CsvSource({"PUT, 0", "PUT, 1", "PUT, 99", "DELETE, 0", "DELETE, 1", "DELETE, 99"})
    void rejectsWriteWithOtherRevision(Operation operation, long expected) throws Exception {
        Revision first = Await.value(store().put(NAME, OLD, Revision.NONE));
        Revision second = Await.value(store().put(NAME, NEW, first));
        assertThat(second.isNewerThan(first)).isTrue();
        Revision stated = expected == 1 ? first : revision(expected);
        assertThat(Await.code(start(operation, stated))).isEqualTo(ResultCode.REVISION_CONFLICT);
        assertThat(currentRevision()).isEqualTo(second);
    }

    /** Guards against a value that is changed in transfer, and against a limit below 1 MB. */
    @Test
    void storesValuesUpToLimit() throws Exception {
        byte[] value = new byte[1_000_000];
        value[7] = -1;
        Await.value(store().put(NAME, value, Revision.NONE));
        assertThat(Await.value(store().get(NAME)).orElseThrow().value()).isEqualTo(value);
        assertThat(Await.code(store().put("large", new byte[2_000_000], Revision.NONE)))
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
        assertThat(Await.value(store().get("large"))).isEmpty();
    }

    /** Guards against a listing that misses objects or contains objects with another prefix. */
    @Test
    void listsOnePrefixOrderedByRevision() throws Exception {
        Await.value(store().put("members/b", OLD, Revision.NONE));
        Await.value(store().put("members/a", OLD, Revision.NONE));
        Revision last = Await.value(store().put("notes/a", OLD, Revision.NONE));
        WatchBatch listing = Await.value(store().list("members/"));
        assertThat(listing.changes()).extracting(StoredObject::name).containsExactly("members/b", "members/a");
        assertThat(listing.upTo()).isEqualTo(last);
    }

    /** Guards against a watch that misses a change or a deletion made before or during the watch. */
    @Test
    void watchReportsChangesAndDeletions() throws Exception {
        Revision first = Await.value(store().put("members/a", OLD, Revision.NONE));
        CompletableFuture<WatchBatch> waitingWatch = store().watch("members/", first, 4_000);
        Await.value(store().put("notes/a", OLD, Revision.NONE));
        Await.value(store().put("members/b", NEW, Revision.NONE));
        WatchBatch change = Await.value(waitingWatch);
        assertThat(change.changes()).extracting(StoredObject::name).containsExactly("members/b");
        Await.value(store().delete("members/a", first));
        WatchBatch deletion = Await.value(store().watch("members/", change.upTo(), 4_000));
        assertThat(deletion.changes()).extracting(StoredObject::deleted).containsExactly(true);
        assertThat(Await.value(store().watch("members/", deletion.upTo(), 30)).changes())
                .isEmpty();
    }

    /** Guards against waiting watches that delay other calls. */
    @Test
    void watchesDoNotDelayOtherCalls() throws Exception {
        for (int i = 0; i < 40; i++) {
            store().watch("members/", Revision.NONE, 1_000);
        }
        assertThat(Await.code(store().get(NAME))).isEqualTo(ResultCode.OK);
    }
}
