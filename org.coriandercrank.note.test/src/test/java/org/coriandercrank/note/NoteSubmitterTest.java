package org.coriandercrank.note;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.AcceptedNote;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.note.NoteApplier.Environment;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against notes that are applied twice, are lost, or get a wrong result. */
class NoteSubmitterTest {
    private static final Environment ENVIRONMENT = new Environment(Set.of(), Set.of(), Set.of());
    private static final long TIMEOUT_MS = 1_300;
    private static final long DELAYED_WRITES_MS = 1_800;

    private final FaultyStore store = new FaultyStore();

    @AfterEach
    void stop() {
        store.close();
    }

    private SubmitResult submit(String text) {
        return new NoteSubmitter(store, () -> ENVIRONMENT, TIMEOUT_MS).submit(text);
    }

    private static String note(String id, Revision basedOn, String backend) {
        return "{\"id\":\"" + id + "\",\"basedOn\":" + basedOn + ",\"add\":{\"backends\":[{\"backendName\":\"" + backend
                + "\"}]}}";
    }

    private AcceptanceHistory history() {
        return store.get(ObjectNames.CONFIGURATION)
                .join()
                .map(AcceptanceHistory::of)
                .orElse(AcceptanceHistory.EMPTY);
    }

    private List<String> acceptedIds() {
        return history().configuration().recentNotes().stream()
                .map(acceptedNote -> acceptedNote.id().value())
                .toList();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            # at    | faults                                                              | result
            start   | {"kind":"up"}                                                       | OK
            start   | {"kind":"down"}                                                     | STORE_UNAVAILABLE
            start   | {"kind":"down","durationMs":300}                                    | OK
            start   | {"kind":"closed"}                                                   | STORE_UNAVAILABLE
            start   | {"kind":"slow","delayMs":100}                                       | OK
            start   | {"kind":"slow","delayMs":3000}                                      | STORE_UNAVAILABLE
            start   | {"kind":"unanswered"}                                               | OK
            start   | {"kind":"delayed-write","delayMs":200}                              | OK
            write   | {"kind":"down"}                                                     | STORE_UNAVAILABLE
            write   | {"kind":"down","durationMs":300}                                    | OK
            write   | {"kind":"closed"}                                                   | WRITE_UNANSWERED
            write   | {"kind":"closed","count":2}                                         | OK
            write   | {"kind":"unanswered"}                                               | OK
            write   | {"kind":"cut-answer","count":2}                                     | OK
            write   | {"kind":"slow","delayMs":1500}                                      | WRITE_UNANSWERED
            write   | {"kind":"delayed-write","delayMs":200,"count":1}                    | OK
            write   | {"kind":"delayed-write","delayMs":900,"count":1}                    | OK
            write   | {"kind":"delayed-write","delayMs":1600}                             | WRITE_UNANSWERED
            write   | {"kind":"delayed-write","delayMs":300,"count":1};{"kind":"slow","delayMs":1500} | WRITE_UNANSWERED
            """)
    void reportsDefiniteResultAndAppliesOnce(String injectedAt, String faults, ResultCode expected) throws Exception {
        String text = note("n", Revision.NONE, "desk-1");
        if ("start".equals(injectedAt)) {
            store.injectFault(faults);
        } else {
            store.injectFaultsAtConfigurationWrite(List.of(faults.split(";")));
        }

        assertThat(submit(text).code()).isEqualTo(expected);
        store.injectFault("{\"kind\":\"up\"}");
        if (faults.contains("delayMs")) {
            Thread.sleep(DELAYED_WRITES_MS);
        }
        if (expected != ResultCode.WRITE_UNANSWERED) {
            assertThat(acceptedIds()).isEqualTo(expected == ResultCode.OK ? List.of("n") : List.of());
        }

        SubmitResult repeated = submit(text);
        assertThat(repeated.code()).isEqualTo(ResultCode.OK);
        assertThat(repeated.revision()).isEqualTo(history().revision());
        assertThat(acceptedIds()).containsExactly("n");
    }

    @Test
    void findsRevisionOfUnansweredNoteBeforeLaterNote() {
        String firstNote = note("n-1", Revision.NONE, "desk-1");
        store.injectFaultsAtConfigurationWrite(
                List.of("{\"kind\":\"unanswered\"}", "{\"kind\":\"slow\",\"delayMs\":1500}"));
        ResultCode firstCode = submit(firstNote).code();
        store.injectFault("{\"kind\":\"up\"}");
        Revision acceptedRevision = awaitRevision();
        ResultCode secondCode = submit(note("n-2", acceptedRevision, "desk-2")).code();

        assertThat(List.of(firstCode, secondCode)).containsExactly(ResultCode.WRITE_UNANSWERED, ResultCode.OK);
        assertThat(submit(firstNote).revision()).isEqualTo(acceptedRevision);
        assertThat(acceptedIds()).containsExactly("n-2", "n-1");
    }

    private Revision awaitRevision() {
        while (history().revision().equals(Revision.NONE)) {
            Thread.onSpinWait();
        }
        return history().revision();
    }

    @Test
    void repeatedConflictingNoteHasNoEffect() {
        Revision current = submit(note("n-1", Revision.NONE, "desk-1")).revision();
        String conflictingNote = note("n-2", Revision.NONE, "desk-2");

        for (int i = 0; i < 3; i++) {
            SubmitResult conflict = submit(conflictingNote);
            assertThat(conflict.code()).isEqualTo(ResultCode.NOTE_CONFLICT);
            assertThat(conflict.revision()).isEqualTo(current);
            assertThat(conflict.newerNotes())
                    .extracting(newerNote -> newerNote.id().value())
                    .containsExactly("n-1");
        }
        assertThat(acceptedIds()).containsExactly("n-1");
        assertThat(submit(note("n-2", current, "desk-2")).code()).isEqualTo(ResultCode.OK);
    }

    @Test
    void invalidNoteDoesNotClaimId() {
        String invalid = "{\"id\":\"n\",\"basedOn\":0,\"withdraw\":{\"backends\":[\"desk-1\"]}}";

        assertThat(submit(invalid).code()).isEqualTo(ResultCode.NOTE_INVALID);
        assertThat(submit(invalid).code()).isEqualTo(ResultCode.NOTE_INVALID);
        assertThat(submit(note("n", Revision.NONE, "desk-1")).code()).isEqualTo(ResultCode.OK);
    }

    @Test
    void idOfAcceptedNoteIsRejectedForOtherText() {
        Revision current = submit(note("n", Revision.NONE, "desk-1")).revision();

        assertThat(submit(note("n", Revision.NONE, "desk-2")).code()).isEqualTo(ResultCode.NOTE_ID_REUSED);
        assertThat(submit(note("n", current, "desk-2")).code()).isEqualTo(ResultCode.NOTE_ID_REUSED);
        assertThat(acceptedIds()).containsExactly("n");
    }

    @Test
    void idOfAbandonedNoteIsReusableOnceNoteCannotBeAccepted() {
        store.injectFaultsAtConfigurationWrite(List.of("{\"kind\":\"down\"}"));
        ResultCode abandoned = submit(note("n", Revision.NONE, "desk-1")).code();
        store.injectFault("{\"kind\":\"up\"}");

        assertThat(abandoned).isEqualTo(ResultCode.STORE_UNAVAILABLE);
        assertThat(submit(note("n", Revision.NONE, "desk-2")).code()).isEqualTo(ResultCode.NOTE_ID_REUSED);
        Revision current = submit(note("other", Revision.NONE, "desk-3")).revision();
        assertThat(submit(note("n", current, "desk-2")).code()).isEqualTo(ResultCode.OK);
        assertThat(submit(note("n", Revision.NONE, "desk-1")).code()).isEqualTo(ResultCode.NOTE_ID_REUSED);
    }

    @ParameterizedTest
    @CsvSource({"up,0", "unanswered,0", "delayed-write,150"})
    void concurrentSubmissionsOfOneTextGetOneRevision(String kind, int delayMs) {
        String text = note("n", Revision.NONE, "desk-1");
        store.injectFault("{\"kind\":\"" + kind + "\",\"delayMs\":" + delayMs + ",\"count\":3}");

        List<CompletableFuture<SubmitResult>> submissions = IntStream.range(0, 4)
                .mapToObj(i -> CompletableFuture.supplyAsync(() -> submit(text)))
                .toList();
        List<SubmitResult> results =
                submissions.stream().map(CompletableFuture::join).toList();

        assertThat(results).containsOnly(SubmitResult.accepted(history().revision()));
        assertThat(acceptedIds()).containsExactly("n");
    }

    /** The list of recent notes is full of later notes; the record of the note decides, or the result stays unknown. */
    @ParameterizedTest
    @CsvSource({"ACCEPTED,OK", "SUBMITTED,WRITE_UNANSWERED", "REFUSED,NOTE_CONFLICT"})
    void usesRecordIfLaterNotesDisplacedAcceptance(NoteRecord.State recordedState, ResultCode expected) {
        String text = note("n", Revision.NONE, "desk-1");
        NoteId id = new NoteId("n");
        NoteRecord record = new NoteRecord(id, recordedState, Revision.NONE, new Revision(7), text);
        store.put(ObjectNames.note(id), JsonCodec.encode(record), Revision.NONE).join();
        List<AcceptedNote> laterNotes = IntStream.range(0, Configuration.MAX_RECENT_NOTES)
                .mapToObj(i -> new AcceptedNote(new NoteId("later-" + i), new Revision(1_000 - i), List.of()))
                .toList();
        Configuration configuration = new Configuration(List.of(), List.of(), laterNotes);
        store.put(ObjectNames.CONFIGURATION, JsonCodec.encode(configuration), Revision.NONE)
                .join();

        assertThat(submit(text).code()).isEqualTo(expected);
        assertThat(acceptedIds()).doesNotContain("n");
    }
}
