package org.coriandercrank.adapters;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.settings.SettingsLoader;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;
import org.coriandercrank.standin.CrankStore;
import org.coriandercrank.standin.StoreSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a client that takes revisions of two eras of {@code crank-store} for one course, after the store has
 * returned from an older copy of itself, and against a stand-in that returns to another state than the copy.
 */
class HttpObjectStoreEraTest {
    private static final long CALL_TIMEOUT_MS = 500;
    private static final long ADMIN_TIMEOUT_MS = 30_000;
    private static final long WRITE_DELAY_MS = 700;

    /** Time between a write and a later copy; the stand-in counts in milliseconds. */
    private static final long BEFORE_COPY_MS = 20;

    /** Time between a copy and a later write; exceeds the way of a fault to the stand-in, by which the copy is later. */
    private static final long AFTER_COPY_MS = 900;

    private static final long REWRITE_MS = 800;

    private static final Era FIRST = new Era(1);
    private static final Era SECOND = new Era(2);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private CrankStore storeProgram;
    private HttpClient adminClient;

    /** A client that makes no call between the return of the store and the call under test. */
    private ObjectStore store;

    /** A client that knows of the new era. */
    private ObjectStore other;

    @BeforeEach
    void start() throws Exception {
        storeProgram = CrankStore.start(SettingsLoader.load(
                new StoreSettings(), List.of("--listen", "127.0.0.1:0", "--first-era", "1"), Map.of()));
        adminClient = new HttpClient(group, storeProgram.address(), HttpClientOptions.DEFAULTS);
        store = open();
        other = open();
        // The first calls of a JVM load classes and can exceed the timeout.
        Await.eventually(() ->
                store.get("warm-up").handle((value, failure) -> failure == null).join());
        inject("{\"kind\":\"up\"}");
    }

    @AfterEach
    void stop() {
        store.close();
        other.close();
        storeProgram.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private ObjectStore open() {
        return PluginRegistry.load()
                .get(PluginRegistry.Kind.STORE, HttpAdapterPlugin.NAME)
                .open(storeProgram.address(), CALL_TIMEOUT_MS);
    }

    private static byte[] bytes(String text) {
        return ObjectStoreContract.bytes(text);
    }

    private void inject(String json) throws Exception {
        HttpResponse response =
                Await.value(adminClient.send(HttpRequest.of("POST", "/admin/faults", json), ADMIN_TIMEOUT_MS));
        assertThat(response.status()).isEqualTo(200);
    }

    /** Lets time pass and returns a time to which {@link #returnToCopy} can return, between earlier and later writes. */
    private static long copyNanos() throws InterruptedException {
        Thread.sleep(BEFORE_COPY_MS);
        long nanos = System.nanoTime();
        Thread.sleep(AFTER_COPY_MS);
        return nanos;
    }

    private void returnToCopy(long copyNanos, long outageMs, long rewriteMs) throws Exception {
        long ageMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - copyNanos);
        inject("{\"kind\":\"older-copy\",\"durationMs\":" + outageMs + ",\"delayMs\":" + ageMs + ",\"rewriteMs\":"
                + rewriteMs + "}");
    }

    private String valueOf(String name) {
        return other.get(name)
                .join()
                .map(object -> new String(object.value(), StandardCharsets.UTF_8))
                .orElse("none");
    }

    @ParameterizedTest
    @CsvSource({
        "get,          up",
        "get-missing,  up",
        "list,         up",
        "watch,        up",
        "put,          up",
        "put-conflict, up",
        "delete,       up",
        "get,          down",
        "put,          down",
        "watch,        shed"
    })
    void eachAnswerNamesTheEra(String call, String fault) throws Exception {
        Revision a = Await.value(store.put("members/a", bytes("1"), Revision.NONE));
        assertThat(a).isEqualTo(Revision.of(FIRST, 1));
        returnToCopy(System.nanoTime(), 0, 0);
        inject("{\"kind\":\"" + fault + "\"}");
        CompletableFuture<?> answer = switch (call) {
            case "get" -> other.get("members/a");
            case "get-missing" -> other.get("members/b");
            case "list" -> other.list("members/");
            case "watch" -> other.watch("members/", Revision.NONE, 100);
            case "put" -> other.put("members/b", bytes("1"), Revision.NONE);
            case "put-conflict" -> other.put("members/a", bytes("1"), Revision.NONE);
            default -> other.delete("members/a", Revision.of(SECOND, 1));
        };
        Await.code(answer);
        assertThat(other.era()).isEqualTo(SECOND);
        assertThat(store.era()).isEqualTo(FIRST);
    }

    /** The store refuses calls and closes watches while it is away. */
    @Test
    void storeIsAwayAndReturnsInTheNextEra() throws Exception {
        Revision a = Await.value(store.put("members/a", bytes("1"), Revision.NONE));
        CompletableFuture<WatchBatch> watch = store.watch("members/", a, 4_000);
        long copyNanos = copyNanos();
        Await.value(store.put("members/b", bytes("1"), Revision.NONE));
        Await.value(watch);
        watch = store.watch("members/", revisionOf("members/b"), 4_000);
        Await.eventually(() -> stats().contains("\"waitingWatches\":1"));
        returnToCopy(copyNanos, 400, 0);
        assertThat(Await.code(watch)).isEqualTo(ResultCode.STORE_UNAVAILABLE);
        assertThat(Await.code(store.put("members/c", bytes("1"), Revision.NONE)))
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
        Await.eventually(() -> stats().contains("\"era\":2"));
        WatchBatch listing = Await.value(store.list("members/"));
        assertThat(store.era()).isEqualTo(SECOND);
        assertThat(listing.upTo()).isEqualTo(Revision.of(SECOND, 1));
        assertThat(listing.changes()).extracting(StoredObject::name).containsExactly("members/a");
    }

    private Revision revisionOf(String name) {
        return store.get(name).join().orElseThrow().revision();
    }

    private String stats() {
        return adminClient
                .send(HttpRequest.of("GET", "/admin/stats"), ADMIN_TIMEOUT_MS)
                .join()
                .bodyText();
    }

    /** Writes two versions of two objects, of which the second is lost, and returns the revision of the second. */
    private Revision loseSecondOf(String first, String second) throws Exception {
        Await.value(store.put(first, bytes("kept"), Revision.NONE));
        long copyNanos = copyNanos();
        Revision lost = Await.value(store.put(second, bytes("lost"), Revision.NONE));
        returnToCopy(copyNanos, 0, 0);
        assertThat(Await.value(other.get(second))).isEmpty();
        return lost;
    }

    /** The counter has reached the number of the watch again, so the history alone does not tell that it went back. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void watchFromAnEarlierEraReturnsACompleteListing(boolean eraKnown) throws Exception {
        Revision lost = loseSecondOf("members/a", "members/b");
        Revision again = Await.value(other.put("members/c", bytes("1"), Revision.NONE));
        assertThat(again).isEqualTo(Revision.of(SECOND, lost.number()));
        Await.value(other.put("members/d", bytes("1"), Revision.NONE));
        if (eraKnown) {
            Await.value(store.get("members/c"));
        }
        WatchBatch batch = Await.value(store.watch("members/", lost, 1_000));
        assertThat(batch.reset()).isTrue();
        assertThat(batch.changes())
                .extracting(StoredObject::name)
                .containsExactly("members/a", "members/c", "members/d");
        assertThat(batch.changes()).allMatch(object -> object.revision().era().equals(SECOND));
        assertThat(batch.upTo()).isEqualTo(Revision.of(SECOND, lost.number() + 1));
    }

    /** A revision beyond the counter gets a listing at once, also within the waiting time. */
    @Test
    void watchFromBeyondTheCounterReturnsACompleteListing() throws Exception {
        Revision lost = loseSecondOf("members/a", "members/b");
        WatchBatch batch = Await.value(store.watch("members/", lost, 4_000));
        assertThat(batch.reset()).isTrue();
        assertThat(batch.changes()).extracting(StoredObject::name).containsExactly("members/a");
    }

    @ParameterizedTest
    @ValueSource(strings = {"put", "delete"})
    void writeThatExpectsARevisionOfAnEarlierEraHasNoEffect(String write) throws Exception {
        Revision lost = loseSecondOf("members/a", "members/b");
        Revision again = Await.value(other.put("members/b", bytes("other"), Revision.NONE));
        assertThat(again.number()).isEqualTo(lost.number());
        Await.value(store.get("members/a"));
        assertThat(Await.code(
                        "put".equals(write)
                                ? store.put("members/b", bytes("new"), lost)
                                : store.delete("members/b", lost)))
                .isEqualTo(ResultCode.REVISION_CONFLICT);
        assertThat(valueOf("members/b")).isEqualTo("other");
    }

    /** The number matches by chance, and the client cannot know that the era has changed before it sends the write. */
    @ParameterizedTest
    @CsvSource({"put, new", "delete, none"})
    void writeThatTakesEffectInAnotherEraThanItsConditionIsUnanswered(String write, String result) throws Exception {
        Revision lost = loseSecondOf("members/a", "members/b");
        Await.value(other.put("members/b", bytes("other"), Revision.NONE));
        assertThat(Await.code(
                        "put".equals(write)
                                ? store.put("members/b", bytes("new"), lost)
                                : store.delete("members/b", lost)))
                .isEqualTo(ResultCode.WRITE_UNANSWERED);
        assertThat(valueOf("members/b")).isEqualTo(result);
        assertThat(store.era()).isEqualTo(SECOND);
    }

    /** Guards against a stand-in that drops writes on their way, which the platform does not. */
    @ParameterizedTest
    @ValueSource(longs = {0, 2 * WRITE_DELAY_MS})
    void delayedWriteTakesEffectAfterTheReturn(long outageMs) throws Exception {
        Revision a = Await.value(store.put("members/a", bytes("kept"), Revision.NONE));
        long copyNanos = copyNanos();
        Await.value(store.put("members/a", bytes("lost"), a));
        inject("{\"kind\":\"delayed-write\",\"delayMs\":" + WRITE_DELAY_MS + ",\"count\":2}");
        CompletableFuture<Revision> condition = store.put("members/a", bytes("late"), a);
        CompletableFuture<Revision> creation = store.put("members/b", bytes("late"), Revision.NONE);
        Await.eventually(() -> stats().contains("\"put\":4"));
        returnToCopy(copyNanos, outageMs, 0);
        assertThat(Await.code(condition)).isEqualTo(ResultCode.WRITE_UNANSWERED);
        assertThat(Await.code(creation)).isEqualTo(ResultCode.WRITE_UNANSWERED);
        Await.eventually(() -> stats().contains("\"objects\":2"));
        assertThat(valueOf("members/a")).isEqualTo("late");
        assertThat(valueOf("members/b")).isEqualTo("late");
        assertThat(other.era()).isEqualTo(SECOND);
    }

    /** A copy from before an earlier return has what that return lost, and not what was written after it. */
    @Test
    void secondReturnCanPrecedeTheFirst() throws Exception {
        Revision a = Await.value(store.put("members/a", bytes("1"), Revision.NONE));
        long firstCopyNanos = copyNanos();
        Await.value(store.put("members/a", bytes("2"), a));
        long secondCopyNanos = copyNanos();
        Await.value(store.put("members/b", bytes("1"), Revision.NONE));
        returnToCopy(firstCopyNanos, 0, 0);
        assertThat(valueOf("members/a")).isEqualTo("1");
        Await.value(other.put("members/c", bytes("1"), Revision.NONE));
        returnToCopy(secondCopyNanos, 0, 0);
        WatchBatch listing = Await.value(other.list("members/"));
        assertThat(listing.changes()).extracting(StoredObject::name).containsExactly("members/a");
        assertThat(listing.upTo()).isEqualTo(Revision.of(new Era(3), 2));
        assertThat(valueOf("members/a")).isEqualTo("2");
    }

    @Test
    void copyFromBeforeTheFirstWriteIsEmpty() throws Exception {
        long copyNanos = copyNanos();
        Await.value(store.put("members/a", bytes("1"), Revision.NONE));
        returnToCopy(copyNanos, 0, 0);
        WatchBatch listing = Await.value(other.list("members/"));
        assertThat(listing.changes()).isEmpty();
        assertThat(listing.upTo()).isEqualTo(Revision.NONE);
        assertThat(Await.value(other.put("members/a", bytes("1"), Revision.NONE)))
                .isEqualTo(Revision.of(SECOND, 1));
    }

    @Test
    void operatorsLostWritesAreRepeated() throws Exception {
        long copyNanos = copyNanos();
        Await.value(store.put("config/current", bytes("c"), Revision.NONE));
        Await.value(store.put("notes/n", bytes("lost"), Revision.NONE));
        Await.value(store.put("members/a", bytes("1"), Revision.NONE));
        returnToCopy(copyNanos, 0, REWRITE_MS);
        assertThat(valueOf("config/current")).isEqualTo("none");
        Await.value(other.put("notes/n", bytes("other"), Revision.NONE));
        Await.eventually(() -> "c".equals(valueOf("config/current")));
        assertThat(valueOf("notes/n")).isEqualTo("other");
        assertThat(valueOf("members/a")).isEqualTo("none");
    }
}
