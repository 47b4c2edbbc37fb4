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
 * Submits a release note. Not thread safe; use one per submission. {@link #submit} blocks.
 *
 * <p>The note takes effect by one write of the configuration, conditional on the revision that the note is based on.
 * While the configuration still has that revision, an unanswered write may take effect later, so the same write is
 * repeated until the revision has moved on; then the ids of recent notes tell whether this note was accepted.
 *
 * <p>Invariant: {@link ResultCode#STORE_UNAVAILABLE} is the result only if this submission left no write of the
 * configuration that may still take effect; otherwise it is {@link ResultCode#WRITE_UNANSWERED}.
 */
public final class NoteSubmitter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long RETRY_PAUSE_MS = 50;

    private enum Claim {
        NEW,
        /** Another submission of the same text may have left a write of the configuration. */
        RESUMED,
        DENIED
    }

    private final ObjectStore store;
    private final Supplier<Environment> environment;
    private final long deadlineNanos;
    private boolean writeMayTakeEffect;

    /**
     * Prepares a submission.
     *
     * @param store its time-out of a call should be well below {@code timeoutMs}, so that calls can be repeated
     * @param environment may read the store and fail with {@link CrankException}; it is then repeated
     * @param timeoutMs time after which {@link #submit} gives up with {@link ResultCode#WRITE_UNANSWERED} or
     *     {@link ResultCode#STORE_UNAVAILABLE}
     */
    public NoteSubmitter(ObjectStore store, Supplier<Environment> environment, long timeoutMs) {
        this.store = store;
        this.environment = environment;
        this.deadlineNanos = System.nanoTime() + timeoutMs * 1_000_000;
    }

    /** Submits a note; submitting the same text again is harmless. */
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
        Optional<Acceptance> accepted = history.find(note.id());
        if (accepted.isPresent()) {
            return resultOfEarlierAcceptance(note, text, accepted.get());
        }
        if (!history.revision().equals(note.basedOn())) {
            return resultAfterRevisionChange(note, text, history);
        }
        NoteApplier applier = new NoteApplier(history.configuration(), readWithRetries(environment));
        Optional<Configuration> newConfiguration = applier.apply(note);
        if (newConfiguration.isEmpty()) {
            return SubmitResult.invalid(ResultCode.NOTE_INVALID, applier.errors());
        }
        Claim claim = claimId(note, text, history);
        if (claim == Claim.DENIED) {
            return SubmitResult.rejected(ResultCode.NOTE_ID_REUSED, Revision.NONE, List.of());
        }
        writeMayTakeEffect = claim == Claim.RESUMED;
        return writeConfiguration(note, text, JsonCodec.encode(newConfiguration.get()));
    }

    /** Writes until the outcome is certain. */
    private SubmitResult writeConfiguration(ReleaseNote note, String text, byte[] configuration) {
        while (true) {
            boolean earlierWriteMayTakeEffect = writeMayTakeEffect;
            writeMayTakeEffect = true;
            try {
                Revision accepted = store.put(ObjectNames.CONFIGURATION, configuration, note.basedOn())
                        .join();
                recordState(note.id(), text, State.ACCEPTED, accepted);
                return SubmitResult.accepted(accepted);
            } catch (RuntimeException e) {
                CrankException failure = CrankException.of(e);
                rethrowUnlessRetryable(failure, ResultCode.REVISION_CONFLICT);
                writeMayTakeEffect = earlierWriteMayTakeEffect || failure.code() == ResultCode.WRITE_UNANSWERED;
            }
            AcceptanceHistory history = readHistory();
            Optional<Acceptance> accepted = history.find(note.id());
            // Another text can have the id only on top of a later revision.
            if (accepted.isPresent() && accepted.get().note().basedOn().equals(note.basedOn())) {
                recordState(note.id(), text, State.ACCEPTED, accepted.get().revision());
                return SubmitResult.accepted(accepted.get().revision());
            }
            if (!history.revision().equals(note.basedOn())) {
                return resultAfterRevisionChange(note, text, history);
            }
            pauseBeforeRetry();
        }
    }

    private SubmitResult resultOfEarlierAcceptance(ReleaseNote note, String text, Acceptance accepted) {
        boolean sameText = readRecord(note.id())
                .map(object -> decodeRecord(object).text().equals(text))
                .orElse(false);
        if (!sameText || !accepted.note().basedOn().equals(note.basedOn())) {
            return SubmitResult.rejected(ResultCode.NOTE_ID_REUSED, Revision.NONE, List.of());
        }
        recordState(note.id(), text, State.ACCEPTED, accepted.revision());
        return SubmitResult.accepted(accepted.revision());
    }

    /**
     * Result of a note that is based on another revision than the present one and is not listed as accepted. Its record
     * decides if the list does not reach back far enough.
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

    /** Records the note under its id; denied if the id belongs to another note that may be accepted. */
    private Claim claimId(ReleaseNote note, String text, AcceptanceHistory history) {
        NoteRecord claim = new NoteRecord(note.id(), State.SUBMITTED, note.basedOn(), Revision.NONE, text);
        while (true) {
            Optional<StoredObject> existing = readRecord(note.id());
            if (existing.isPresent()) {
                NoteRecord existingRecord = decodeRecord(existing.get());
                if (existingRecord.text().equals(text)) {
                    return Claim.RESUMED;
                }
                if (!isDefinitelyRejected(existingRecord, history)) {
                    return Claim.DENIED;
                }
            }
            Revision expected = existing.map(StoredObject::revision).orElse(Revision.NONE);
            try {
                store.put(ObjectNames.note(note.id()), JsonCodec.encode(claim), expected)
                        .join();
                return Claim.NEW;
            } catch (RuntimeException e) {
                rethrowUnlessRetryable(CrankException.of(e), ResultCode.REVISION_CONFLICT);
            }
            pauseBeforeRetry();
        }
    }

    /** Whether a recorded note, which the history does not list, can neither be accepted nor have been. */
    private static boolean isDefinitelyRejected(NoteRecord existingRecord, AcceptanceHistory history) {
        return switch (existingRecord.fate()) {
            case REFUSED -> true;
            case ACCEPTED -> false;
            case SUBMITTED ->
                history.revision().isNewerThan(existingRecord.basedOn())
                        && history.isCompleteSince(existingRecord.basedOn());
        };
    }

    /** Best effort without repetition, and only in the record of this text: the configuration stays the source of truth. */
    private void recordState(NoteId id, String text, State fate, Revision accepted) {
        try {
            Optional<StoredObject> existing = store.get(ObjectNames.note(id)).join();
            Optional<NoteRecord> ownRecord = existing.map(NoteSubmitter::decodeRecord)
                    .filter(existingRecord ->
                            existingRecord.text().equals(text) && existingRecord.fate() == State.SUBMITTED);
            if (ownRecord.isPresent()) {
                store.put(
                                ObjectNames.note(id),
                                JsonCodec.encode(ownRecord.get().withState(fate, accepted)),
                                existing.get().revision())
                        .join();
            }
        } catch (RuntimeException e) {
            logger.atInfo().log(
                    "event=note-fate-not-recorded note=%s fate=%s reason=\"%s\"",
                    id, fate, CrankException.of(e).getMessage());
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
            throw new CrankException(ResultCode.STORE_UNAVAILABLE, "no certain answer of the store in the time given");
        }
        try {
            Thread.sleep(RETRY_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CrankException(ResultCode.STORE_UNAVAILABLE, "interrupted", e);
        }
    }
}
