package org.coriandercrank.ctl.internal;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.coriandercrank.ctl.internal.ClusterReader.CurrentConfiguration;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.AcceptedNote;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.note.AcceptanceHistory;
import org.coriandercrank.note.AcceptanceHistory.Acceptance;
import org.coriandercrank.note.NoteApplier;
import org.coriandercrank.note.NoteError;
import org.coriandercrank.note.NoteParser;
import org.coriandercrank.note.NoteRecord;
import org.coriandercrank.note.NoteSubmitter;
import org.coriandercrank.note.ReleaseNote;
import org.coriandercrank.note.SubmitResult;

/** The commands {@code note ...}, which handle release notes. Not thread safe. */
public final class NoteCommands {
    private static final long POLL_INTERVAL_MS = 100;
    private static final long NANOS_PER_MS = 1_000_000;

    /** Result of {@link #check} for a valid note. Immutable. */
    private record ValidNote(boolean valid, Revision revision) {}

    /**
     * Result for a note that is not based on the current revision. Immutable.
     *
     * @param revision the current revision
     * @param newerNotes the notes accepted since the revision on which the note is based; empty for {@link #check}
     */
    private record Conflict(Revision revision, List<AcceptedNote> newerNotes) {}

    private final CtlSettings settings;
    private final ClusterReader cluster;
    private final Supplier<String> noteText;
    private final ProgressListener progressListener;

    /** Receives progress messages of a running command. */
    @FunctionalInterface
    public interface ProgressListener {
        /** Handles one message. */
        void report(String line);
    }

    public NoteCommands(
            CtlSettings settings, ClusterReader cluster, Supplier<String> noteText, ProgressListener progressListener) {
        this.settings = settings;
        this.cluster = cluster;
        this.noteText = noteText;
        this.progressListener = progressListener;
    }

    /** Checks a note against the current configuration without submitting it. */
    public CtlResult check() {
        CurrentConfiguration current = cluster.currentConfiguration();
        NoteParser parser = new NoteParser();
        Optional<ReleaseNote> note = parser.parse(noteText.get());
        if (note.isEmpty()) {
            return invalidNote(parser.code(), parser.errors());
        }
        NoteApplier applier = new NoteApplier(current.configuration(), cluster.noteEnvironment());
        if (applier.apply(note.get()).isEmpty()) {
            return invalidNote(ResultCode.NOTE_INVALID, applier.errors());
        }
        if (!note.get().basedOn().equals(current.revision())) {
            return conflict(current.revision(), List.of());
        }
        return CtlResult.ok(
                new ValidNote(true, current.revision()), List.of("valid against revision " + current.revision()));
    }

    /** Submits a note and waits until it is in force on all daemons or the wait time has passed. */
    public CtlResult submit() {
        SubmitResult result = new NoteSubmitter(cluster.store(), cluster::noteEnvironment, settings.submitTimeoutMs())
                .submit(noteText.get());
        if (result.code() == ResultCode.NOTE_CONFLICT) {
            return conflict(result.revision(), result.newerNotes());
        }
        if (result.code() != ResultCode.OK) {
            return result.faults().isEmpty()
                    ? new CtlResult(
                            result.code(),
                            result,
                            List.of(result.code() + ": " + result.code().description()))
                    : invalidNote(result.code(), result.faults());
        }
        progressListener.report("accepted at revision " + result.revision());
        return settings.waitInForceMs() == 0
                ? CtlResult.ok(result, List.of("accepted at revision " + result.revision()))
                : waitUntilInForce(result.revision());
    }

    /** Reports on how many daemons a note, or the current configuration, is in force. */
    public CtlResult status() {
        CurrentConfiguration current = cluster.currentConfiguration();
        Revision revision = current.revision();
        if (!settings.noteId().isEmpty()) {
            NoteId id = new NoteId(settings.noteId());
            Optional<Revision> accepted = acceptanceRevision(acceptanceHistory(current), id, findRecord(id));
            if (accepted.isEmpty()) {
                return new CtlResult(
                        ResultCode.NOTE_INVALID,
                        Map.of("accepted", false),
                        List.of("note " + id + " was not accepted"));
            }
            revision = accepted.get();
        }
        RolloutStatus rollout = RolloutStatus.of(revision, cluster.memberStatuses());
        ResultCode code = rollout.reachesAllDaemons() ? ResultCode.OK : ResultCode.NOTE_NOT_IN_FORCE;
        return new CtlResult(code, rollout, List.of(rollout.summaryLine()));
    }

    /**
     * Lists the recorded notes by the revision at which they were accepted; notes that were not accepted come first.
     */
    public CtlResult list() {
        AcceptanceHistory history = acceptanceHistory(cluster.currentConfiguration());
        List<NoteRecord> records = cluster.notes().stream()
                .map(NoteCommands::decodeRecord)
                .map(note -> acceptanceRevision(history, note.id(), Optional.of(note))
                        .map(note::acceptedAt)
                        .orElse(note))
                .sorted(Comparator.comparing(NoteRecord::accepted))
                .toList();
        return CtlResult.ok(
                records, records.stream().map(NoteCommands::summaryLine).toList());
    }

    private static String summaryLine(NoteRecord note) {
        boolean accepted = note.fate() == NoteRecord.State.ACCEPTED;
        return note.id() + " " + note.fate() + (accepted ? " at " + note.accepted() : "") + " based on "
                + note.basedOn();
    }

    private static AcceptanceHistory acceptanceHistory(CurrentConfiguration current) {
        return new AcceptanceHistory(current.revision(), current.configuration());
    }

    /**
     * Returns the revision at which a note was accepted. The configuration is authoritative; the record of the note
     * counts only if the configuration no longer lists the note because it is too old.
     */
    private static Optional<Revision> acceptanceRevision(
            AcceptanceHistory history, NoteId id, Optional<NoteRecord> record) {
        return history.find(id)
                .map(Acceptance::revision)
                .or(() -> record.filter(note -> note.fate() == NoteRecord.State.ACCEPTED)
                        .map(NoteRecord::accepted));
    }

    /** Shows the recorded text of a note. */
    public CtlResult show() {
        if (settings.noteId().isEmpty()) {
            return new CtlResult(ResultCode.SETTING_INVALID, Map.of(), List.of("note show requires --note ID"));
        }
        return findRecord(new NoteId(settings.noteId()))
                .map(note -> CtlResult.ok(note, List.of(note.id() + " " + note.fate(), note.text())))
                .orElseGet(() -> new CtlResult(
                        ResultCode.NOTE_INVALID,
                        Map.of("found", false),
                        List.of("note " + settings.noteId() + " does not exist")));
    }

    /** Shows what a note would change in the current configuration. */
    public CtlResult diff() {
        Configuration current = cluster.currentConfiguration().configuration();
        NoteParser parser = new NoteParser();
        NoteApplier applier = new NoteApplier(current, cluster.noteEnvironment());
        Optional<Configuration> next = parser.parse(noteText.get()).flatMap(applier::apply);
        if (next.isEmpty()) {
            List<NoteError> errors = new ArrayList<>(parser.errors());
            errors.addAll(applier.errors());
            return invalidNote(parser.code(), errors);
        }
        List<String> lines = new ArrayList<>();
        addDifference(current.services(), next.get().services(), lines);
        addDifference(current.backends(), next.get().backends(), lines);
        return CtlResult.ok(lines, lines);
    }

    private static void addDifference(List<?> before, List<?> after, List<String> lines) {
        before.stream()
                .filter(element -> !after.contains(element))
                .forEach(element -> lines.add("- " + toJson(element)));
        after.stream()
                .filter(element -> !before.contains(element))
                .forEach(element -> lines.add("+ " + toJson(element)));
    }

    /**
     * Waits until a revision is in force on all daemons. The note is already accepted, so an error of the store is
     * reported as "not in force" and not as a failure.
     */
    private CtlResult waitUntilInForce(Revision revision) {
        long deadlineNanos = System.nanoTime() + settings.waitInForceMs() * NANOS_PER_MS;
        RolloutStatus rollout = new RolloutStatus(revision, 0, 0, List.of(), List.of());
        String lastLine = "";
        while (true) {
            String line;
            try {
                rollout = RolloutStatus.of(revision, cluster.memberStatuses());
                line = rollout.summaryLine();
                if (rollout.reachesAllDaemons()) {
                    return CtlResult.ok(rollout, List.of(line));
                }
            } catch (CrankException e) {
                line = "accepted at revision " + revision + "; members not known: " + e.code();
            }
            if (System.nanoTime() - deadlineNanos > 0) {
                return new CtlResult(ResultCode.NOTE_NOT_IN_FORCE, rollout, List.of(line));
            }
            if (!line.equals(lastLine)) {
                lastLine = line;
                progressListener.report(line);
            }
            sleepBetweenPolls();
        }
    }

    private static void sleepBetweenPolls() {
        try {
            Thread.sleep(POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private Optional<NoteRecord> findRecord(NoteId id) {
        return cluster.notes().stream()
                .map(NoteCommands::decodeRecord)
                .filter(note -> note.id().equals(id))
                .findFirst();
    }

    private static NoteRecord decodeRecord(StoredObject object) {
        return JsonCodec.decode(object.value(), NoteRecord.class);
    }

    private static String toJson(Object value) {
        return new String(JsonCodec.encode(value), StandardCharsets.UTF_8);
    }

    private static CtlResult invalidNote(ResultCode code, List<NoteError> errors) {
        return new CtlResult(
                code, errors, errors.stream().map(NoteError::toString).toList());
    }

    private static CtlResult conflict(Revision current, List<AcceptedNote> newerNotes) {
        List<String> lines = new ArrayList<>();
        lines.add("conflict: the configuration is at revision " + current);
        newerNotes.forEach(note -> lines.add("accepted since: " + note.id() + " touched " + note.touched()));
        return new CtlResult(ResultCode.NOTE_CONFLICT, new Conflict(current, newerNotes), lines);
    }
}
