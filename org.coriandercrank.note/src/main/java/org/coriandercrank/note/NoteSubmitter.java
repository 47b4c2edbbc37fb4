package org.coriandercrank.note;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.note.AcceptanceHistory.Acceptance;
import org.coriandercrank.note.NoteApplier.Environment;
import org.coriandercrank.note.NoteRecord.State;

/**
 * Submits a release note. Not thread safe; use one instance for each submission. {@link #submit} blocks.
 *
 * <p>The note takes effect by one write of the configuration, conditional on the revision that the note is based on.
 * While the configuration still has that revision, an unanswered write may take effect later. The same write is
 * therefore repeated until the configuration has another revision; the ids of its recent notes then show whether this
 * note was accepted.
 *
 * <p>Invariant: {@link ResultCode#STORE_UNAVAILABLE} is the result only if this submission left no write of the
 * configuration that may still take effect; otherwise it is {@link ResultCode#WRITE_UNANSWERED}.
 */
public final class NoteSubmitter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long RETRY_PAUSE_MS = 50;

    /** Result of claiming the id of a note. */
    private enum IdClaim {
        /** This submission recorded the note under its id. */
        NEW,
        /**
         * Another submission of the same text may have sent a write of the configuration that can still take effect.
         */
        RESUMED,
        /** Another note has the id. */
        DENIED
    }

    private final ObjectStore store;
    private final Supplier<Environment> environment;
    private final long deadlineNanos;
    private boolean writeMayTakeEffect;

    /**
     * Prepares a submission.
     *
     * @param store its timeout of one call should be well below {@code timeoutMs}, so that calls can be repeated
     * @param environment supplies the environment; may read the store, and is repeated if it fails because the store is
     *     unavailable
     * @param timeoutMs time after which {@link #submit} gives up with {@link ResultCode#WRITE_UNANSWERED} or
     *     {@link ResultCode#STORE_UNAVAILABLE}
     */
    public NoteSubmitter(ObjectStore store, Supplier<Environment> environment, long timeoutMs) {
        this.store = store;
        this.environment = environment;
        this.deadlineNanos = System.nanoTime() + timeoutMs * 1_000_000;
    }

    /** Submits a note. Idempotent: submitting the same text again has no further effect. */
    public SubmitResult submit(String text) {
        NoteParser parser = new NoteParser();
        Optional<ReleaseNote> parsed = parser.parse(text);
        if (parsed.isEmpty()) {
            return SubmitResult.invalid(parser.code(), parser.errors());
        }
        try {
            return submitParsed(parsed.get(), text);
        } catch (CrankException e) {
            ResultCode code = writeMayTakeEffect ? ResultCode.WRITE_UNANSWERED : e.code();
            return SubmitResult.rejected(code, Revision.NONE, List.of());
        }
    }

    private SubmitResult submitParsed(ReleaseNote note, String text) {
        AcceptanceHistory history = readHistory();
        Optional<Acceptance> acceptance = history.find(note.id());
        if (acceptance.isPresent()) {
            return resultOfEarlierAcceptance(note, text, acceptance.get());
        }
        if (!history.revision().equals(note.basedOn())) {
            return resultAfterRevisionChange(note, text, history);
        }
        NoteApplier applier = new NoteApplier(history.configuration(), readWithRetries(environment));
        Optional<Configuration> newConfiguration = applier.apply(note);
        if (newConfiguration.isEmpty()) {
            return SubmitResult.invalid(ResultCode.NOTE_INVALID, applier.errors());
        }
        IdClaim claim = claimId(note, text, history);
        if (claim == IdClaim.DENIED) {
            return SubmitResult.rejected(ResultCode.NOTE_ID_REUSED, Revision.NONE, List.of());
        }
        writeMayTakeEffect = claim == IdClaim.RESUMED;
        return writeConfiguration(note, text, JsonCodec.encode(newConfiguration.get()));
    }

    /** Repeats the write until its outcome is certain. */
    private SubmitResult writeConfiguration(ReleaseNote note, String text, byte[] configuration) {
        while (true) {
            boolean earlierWriteMayTakeEffect = writeMayTakeEffect;
            writeMayTakeEffect = true;
            try {
                Revision acceptedRevision = store.put(ObjectNames.CONFIGURATION, configuration, note.basedOn())
                        .join();
                recordState(note.id(), text, State.ACCEPTED, acceptedRevision);
                return SubmitResult.accepted(acceptedRevision);
            } catch (RuntimeException e) {
                CrankException failure = CrankException.of(e);
                rethrowUnlessRetryable(failure, ResultCode.REVISION_CONFLICT);
                writeMayTakeEffect = earlierWriteMayTakeEffect || failure.code() == ResultCode.WRITE_UNANSWERED;
            }
            AcceptanceHistory history = readHistory();
            Optional<Acceptance> acceptance = history.find(note.id());
            // A note with the same id and another text can only be based on a later revision.
            if (acceptance.isPresent() && acceptance.get().note().basedOn().equals(note.basedOn())) {
                recordState(note.id(), text, State.ACCEPTED, acceptance.get().revision());
                return SubmitResult.accepted(acceptance.get().revision());
            }
            if (!history.revision().equals(note.basedOn())) {
                return resultAfterRevisionChange(note, text, history);
            }
            pauseBeforeRetry();
        }
    }

    private SubmitResult resultOfEarlierAcceptance(ReleaseNote note, String text, Acceptance acceptance) {
        boolean sameText = readRecord(note.id())
                .map(object -> decodeRecord(object).text().equals(text))
                .orElse(false);
        if (!sameText || !acceptance.note().basedOn().equals(note.basedOn())) {
            return SubmitResult.rejected(ResultCode.NOTE_ID_REUSED, Revision.NONE, List.of());
        }
        recordState(note.id(), text, State.ACCEPTED, acceptance.revision());
        return SubmitResult.accepted(acceptance.revision());
    }

    /**
     * Returns the result of a note that is not based on the current revision and is not listed as accepted. If the list
     * of recent notes is incomplete since the revision of the note, the record of the note decides.
     */
    private SubmitResult resultAfterRevisionChange(ReleaseNote note, String text, AcceptanceHistory history) {
        Optional<NoteRecord> ownRecord = readRecord(note.id())
                .map(NoteSubmitter::decodeRecord)
                .filter(existingRecord -> existingRecord.text().equals(text));
        if (ownRecord.isPresent() && ownRecord.get().fate() == State.ACCEPTED) {
            return SubmitResult.accepted(ownRecord.get().accepted());
        }
        boolean historyComplete = history.isCompleteSince(note.basedOn());
        if (ownRecord.isPresent() && ownRecord.get().fate() == State.SUBMITTED && !historyComplete) {
            return SubmitResult.rejected(ResultCode.WRITE_UNANSWERED, history.revision(), List.of());
        }
        if (history.revision().isNewerThan(note.basedOn())) {
            recordState(note.id(), text, State.REFUSED, Revision.NONE);
        }
        return SubmitResult.rejected(ResultCode.NOTE_CONFLICT, history.revision(), history.since(note.basedOn()));
    }

    /** Records the note under its id. The claim is denied if another note has the id and may be accepted. */
    private IdClaim claimId(ReleaseNote note, String text, AcceptanceHistory history) {
        NoteRecord record = new NoteRecord(note.id(), State.SUBMITTED, note.basedOn(), Revision.NONE, text);
        while (true) {
            Optional<StoredObject> existing = readRecord(note.id());
            if (existing.isPresent()) {
                NoteRecord existingRecord = decodeRecord(existing.get());
                if (existingRecord.text().equals(text)) {
                    return IdClaim.RESUMED;
                }
                if (!isDefinitelyRejected(existingRecord, history)) {
                    return IdClaim.DENIED;
                }
            }
            Revision expected = existing.map(StoredObject::revision).orElse(Revision.NONE);
            try {
                store.put(ObjectNames.note(note.id()), JsonCodec.encode(record), expected)
                        .join();
                return IdClaim.NEW;
            } catch (RuntimeException e) {
                rethrowUnlessRetryable(CrankException.of(e), ResultCode.REVISION_CONFLICT);
            }
            pauseBeforeRetry();
        }
    }

    /** Whether a recorded note that the history does not list has not been accepted and can no longer be accepted. */
    private static boolean isDefinitelyRejected(NoteRecord existingRecord, AcceptanceHistory history) {
        return switch (existingRecord.fate()) {
            case REFUSED -> true;
            case ACCEPTED -> false;
            case SUBMITTED ->
                history.revision().isNewerThan(existingRecord.basedOn())
                        && history.isCompleteSince(existingRecord.basedOn());
        };
    }

    /**
     * Updates the state in the record of this text. A failure is only logged and not retried, because the configuration
     * is authoritative.
     */
    private void recordState(NoteId id, String text, State state, Revision acceptedRevision) {
        try {
            Optional<StoredObject> existing = store.get(ObjectNames.note(id)).join();
            Optional<NoteRecord> ownRecord = existing.map(NoteSubmitter::decodeRecord)
                    .filter(existingRecord ->
                            existingRecord.text().equals(text) && existingRecord.fate() == State.SUBMITTED);
            if (ownRecord.isPresent()) {
                store.put(
                                ObjectNames.note(id),
                                JsonCodec.encode(ownRecord.get().withState(state, acceptedRevision)),
                                existing.get().revision())
                        .join();
            }
        } catch (RuntimeException e) {
            logger.atInfo().log(
                    "event=note-fate-not-recorded note=%s fate=%s reason=\"%s\"",
                    id, state, CrankException.of(e).getMessage());
        }
    }

    private AcceptanceHistory readHistory() {
        return readWithRetries(() -> store.get(ObjectNames.CONFIGURATION).join())
                .map(AcceptanceHistory::of)
                .orElse(AcceptanceHistory.EMPTY);
    }

    private Optional<StoredObject> readRecord(NoteId id) {
        return readWithRetries(() -> store.get(ObjectNames.note(id)).join());
    }

    private static NoteRecord decodeRecord(StoredObject object) {
        return JsonCodec.decode(object.value(), NoteRecord.class);
    }

    private <T> T readWithRetries(Supplier<T> read) {
        while (true) {
            try {
                return read.get();
            } catch (RuntimeException e) {
                rethrowUnlessRetryable(CrankException.of(e), ResultCode.STORE_UNAVAILABLE);
            }
            pauseBeforeRetry();
        }
    }

    private static void rethrowUnlessRetryable(CrankException failure, ResultCode alsoRetryable) {
        ResultCode code = failure.code();
        if (code != ResultCode.STORE_UNAVAILABLE && code != ResultCode.WRITE_UNANSWERED && code != alsoRetryable) {
            throw failure;
        }
    }

    private void pauseBeforeRetry() {
        if (System.nanoTime() - deadlineNanos > 0) {
            throw new CrankException(
                    ResultCode.STORE_UNAVAILABLE, "the store gave no definite answer before the timeout");
        }
        try {
            Thread.sleep(RETRY_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CrankException(ResultCode.STORE_UNAVAILABLE, "interrupted", e);
        }
    }
}
