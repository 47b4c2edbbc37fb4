package org.coriandercrank.note;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.AcceptedNote;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.note.NoteApplication.Environment;
import org.coriandercrank.note.NoteRecord.Fate;

/**
 * Submits a release note. Not thread safe; use one per submission. {@link #call} blocks.
 *
 * <p>The note takes effect by one write of the configuration, conditional on the revision that the note is based on.
 * While the configuration still has that revision, an unanswered write may take effect later, so the same write is
 * repeated until the revision has moved on; then the ids of recent notes tell whether this note was accepted.
 */
public final class SubmitNote {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long RETRY_PAUSE_MS = 50;

    private record Current(Revision revision, Configuration configuration) {
        boolean accepted(NoteId id) {
            return configuration.wasAccepted(id);
        }
    }

    private final ObjectStore store;
    private final Environment environment;
    private final long deadlineNanos;

    /**
     * Prepares a submission.
     *
     * @param timeoutMs time after which {@link #call} gives up with {@link ResultCode#WRITE_UNANSWERED} or
     *     {@link ResultCode#STORE_UNAVAILABLE}
     */
    public SubmitNote(ObjectStore store, Environment environment, long timeoutMs) {
        this.store = store;
        this.environment = environment;
        this.deadlineNanos = System.nanoTime() + timeoutMs * 1_000_000;
    }

    /** Submits a note; submitting the same text again is harmless. */
    public SubmitResult call(String text) {
        NoteParser parser = new NoteParser();
        Optional<ReleaseNote> parsed = parser.parse(text);
        if (parsed.isEmpty()) {
            return SubmitResult.invalid(codeOf(parser.faults()), parser.faults());
        }
        try {
            return submit(parsed.get(), text);
        } catch (CrankException e) {
            return SubmitResult.refused(e.code(), Revision.NONE, List.of());
        }
    }

    private SubmitResult submit(ReleaseNote note, String text) {
        Current current = readConfiguration();
        if (current.accepted(note.id())) {
            return acceptedBefore(note, text, current);
        }
        if (!current.revision.equals(note.basedOn())) {
            return conflict(note, current);
        }
        NoteApplication application = new NoteApplication(current.configuration, environment);
        Optional<Configuration> next = application.apply(note);
        if (next.isEmpty()) {
            return SubmitResult.invalid(ResultCode.NOTE_INVALID, application.faults());
        }
        if (!claimId(note, text)) {
            return SubmitResult.refused(ResultCode.NOTE_ID_REUSED, current.revision, List.of());
        }
        return writeConfiguration(note, JsonCodec.encode(next.get()));
    }

    /** Writes until the outcome is certain. */
    private SubmitResult writeConfiguration(ReleaseNote note, byte[] configuration) {
        while (true) {
            try {
                Revision accepted = store.put(ObjectNames.CONFIGURATION, configuration, note.basedOn())
                        .join();
                recordFate(note.id(), Fate.ACCEPTED, accepted);
                return SubmitResult.accepted(accepted);
            } catch (RuntimeException e) {
                requireRetryable(CrankException.of(e), ResultCode.REVISION_CONFLICT);
            }
            Current current = readConfiguration();
            if (current.accepted(note.id())) {
                recordFate(note.id(), Fate.ACCEPTED, current.revision);
                return SubmitResult.accepted(current.revision);
            }
            if (!current.revision.equals(note.basedOn())) {
                recordFate(note.id(), Fate.REFUSED, Revision.NONE);
                return conflict(note, current);
            }
            pause(ResultCode.WRITE_UNANSWERED);
        }
    }

    private SubmitResult acceptedBefore(ReleaseNote note, String text, Current current) {
        Optional<NoteRecord> known = readRecord(note.id()).map(SubmitNote::decodeRecord);
        boolean sameText = known.map(r -> r.text().equals(text)).orElse(false);
        if (!sameText) {
            return SubmitResult.refused(ResultCode.NOTE_ID_REUSED, current.revision, List.of());
        }
        Revision accepted = known.get().accepted();
        return SubmitResult.accepted(accepted.equals(Revision.NONE) ? current.revision : accepted);
    }

    private static SubmitResult conflict(ReleaseNote note, Current current) {
        List<AcceptedNote> newerNotes = current.configuration.recentNotes().stream()
                .filter(accepted -> accepted.basedOn().compareTo(note.basedOn()) >= 0)
                .toList();
        return SubmitResult.refused(ResultCode.NOTE_CONFLICT, current.revision, newerNotes);
    }

    /** Records the note under its id; false if the id belongs to another note that may be accepted. */
    private boolean claimId(ReleaseNote note, String text) {
        NoteRecord claim = new NoteRecord(note.id(), Fate.SUBMITTED, note.basedOn(), Revision.NONE, text);
        while (true) {
            Optional<StoredObject> existing = readRecord(note.id());
            if (existing.isPresent()) {
                NoteRecord known = decodeRecord(existing.get());
                if (known.text().equals(text)) {
                    return true;
                }
                if (known.fate() != Fate.REFUSED) {
                    return false;
                }
            }
            Revision expected = existing.map(StoredObject::revision).orElse(Revision.NONE);
            try {
                store.put(ObjectNames.note(note.id()), JsonCodec.encode(claim), expected)
                        .join();
                return true;
            } catch (RuntimeException e) {
                requireRetryable(CrankException.of(e), ResultCode.REVISION_CONFLICT);
            }
            pause(ResultCode.STORE_UNAVAILABLE);
        }
    }

    /** Best effort: the configuration stays the source of truth. */
    private void recordFate(NoteId id, Fate fate, Revision accepted) {
        try {
            Optional<StoredObject> existing = readRecord(id);
            if (existing.isPresent()) {
                NoteRecord updated = decodeRecord(existing.get()).withFate(fate, accepted);
                store.put(
                                ObjectNames.note(id),
                                JsonCodec.encode(updated),
                                existing.get().revision())
                        .join();
            }
        } catch (RuntimeException e) {
            logger.atInfo().withCause(e).log("event=note-fate-not-recorded note=%s fate=%s", id, fate);
        }
    }

    private Current readConfiguration() {
        Optional<StoredObject> stored =
                retry(() -> store.get(ObjectNames.CONFIGURATION).join());
        return stored.map(
                        object -> new Current(object.revision(), JsonCodec.decode(object.value(), Configuration.class)))
                .orElse(new Current(Revision.NONE, Configuration.EMPTY));
    }

    private Optional<StoredObject> readRecord(NoteId id) {
        return retry(() -> store.get(ObjectNames.note(id)).join());
    }

    private static NoteRecord decodeRecord(StoredObject object) {
        return JsonCodec.decode(object.value(), NoteRecord.class);
    }

    private <T> T retry(Supplier<T> read) {
        while (true) {
            try {
                return read.get();
            } catch (RuntimeException e) {
                requireRetryable(CrankException.of(e), ResultCode.STORE_UNAVAILABLE);
            }
            pause(ResultCode.STORE_UNAVAILABLE);
        }
    }

    private static void requireRetryable(CrankException failure, ResultCode alsoRetryable) {
        ResultCode code = failure.code();
        if (code != ResultCode.STORE_UNAVAILABLE && code != ResultCode.WRITE_UNANSWERED && code != alsoRetryable) {
            throw failure;
        }
    }

    private void pause(ResultCode codeAfterTimeout) {
        if (System.nanoTime() - deadlineNanos > 0) {
            throw new CrankException(codeAfterTimeout, "no certain answer of the store in the time given");
        }
        try {
            Thread.sleep(RETRY_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CrankException(codeAfterTimeout, "interrupted", e);
        }
    }

    private static ResultCode codeOf(List<NoteFault> faults) {
        boolean unreadable = faults.stream().anyMatch(f -> f.kind() == NoteFault.Kind.UNREADABLE);
        return unreadable ? ResultCode.NOTE_UNREADABLE : ResultCode.NOTE_INVALID;
    }
}
