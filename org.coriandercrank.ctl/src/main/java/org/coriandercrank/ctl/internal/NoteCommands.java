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
import org.coriandercrank.note.ReleaseNote;
import org.coriandercrank.note.NoteSubmitter;
import org.coriandercrank.note.SubmitResult;

/** Commands {@code note ...}. Not thread safe. */
public final class NoteCommands {
    private static final long POLL_PERIOD_MS = 100;

    /** Result of {@link #check} without faults. Immutable. */
    private record ValidNote(boolean valid, Revision revision) {}

    /** The present revision and the notes accepted since the one that a note is based on. Immutable. */
    private record Conflict(Revision revision, List<AcceptedNote> newerNotes) {}

    private final CtlSettings settings;
    private final ClusterReader fleet;
    private final Supplier<String> noteText;
    private final ProgressListener progress;

    /** Prints a line while a command goes on. */
    @FunctionalInterface
    public interface ProgressListener {
        void report(String line);
    }

    public NoteCommands(CtlSettings settings, ClusterReader fleet, Supplier<String> noteText, ProgressListener progress) {
        this.settings = settings;
        this.fleet = fleet;
        this.noteText = noteText;
        this.progress = progress;
    }

    /** Checks a note against the current configuration without submitting it. */
    public CtlResult check() {
        CurrentConfiguration current = fleet.configuration();
        NoteParser parser = new NoteParser();
        Optional<ReleaseNote> note = parser.parse(noteText.get());
        if (note.isEmpty()) {
            return faults(parser.code(), parser.errors());
        }
        NoteApplier application = new NoteApplier(current.configuration(), fleet.noteEnvironment());
        if (application.apply(note.get()).isEmpty()) {
            return faults(ResultCode.NOTE_INVALID, application.errors());
        }
        if (!note.get().basedOn().equals(current.revision())) {
            return conflict(current.revision(), List.of());
        }
        return CtlResult.ok(
                new ValidNote(true, current.revision()), List.of("valid against revision " + current.revision()));
    }

    /** Submits a note and waits until it is in force on all live daemons or the time is over. */
    public CtlResult submit() {
        SubmitResult result =
                new NoteSubmitter(fleet.store(), fleet::noteEnvironment, settings.timeoutMs()).submit(noteText.get());
        if (result.code() == ResultCode.NOTE_CONFLICT) {
            return conflict(result.revision(), result.newerNotes());
        }
        if (result.code() != ResultCode.OK) {
            return result.faults().isEmpty()
                    ? new CtlResult(
                            result.code(),
                            result,
                            List.of(result.code() + ": " + result.code().description()))
                    : faults(result.code(), result.faults());
        }
        progress.report("accepted at revision " + result.revision());
        return settings.waitMs() == 0
                ? CtlResult.ok(result, List.of("accepted at revision " + result.revision()))
                : waitInForce(result.revision());
    }

    /** On how many live daemons a note, or the current configuration, is in force. */
    public CtlResult status() {
        CurrentConfiguration current = fleet.configuration();
        Revision revision = current.revision();
        if (!settings.note().isEmpty()) {
            NoteId id = new NoteId(settings.note());
            Optional<Revision> accepted = acceptedAt(history(current), id, record(id));
            if (accepted.isEmpty()) {
                return new CtlResult(
                        ResultCode.NOTE_INVALID,
                        Map.of("accepted", false),
                        List.of("note " + id + " was not accepted"));
            }
            revision = accepted.get();
        }
        RolloutStatus inForce = RolloutStatus.of(revision, fleet.memberStatuses());
        ResultCode code = inForce.reachesAllDaemons() ? ResultCode.OK : ResultCode.NOTE_NOT_IN_FORCE;
        return new CtlResult(code, inForce, List.of(inForce.summaryLine()));
    }

    /** Recorded notes by the revision at which they were accepted; those that were not come first. */
    public CtlResult list() {
        AcceptanceHistory history = history(fleet.configuration());
        List<NoteRecord> records = fleet.notes().stream()
                .map(NoteCommands::decode)
                .map(note -> acceptedAt(history, note.id(), Optional.of(note))
                        .map(note::acceptedAt)
                        .orElse(note))
                .sorted(Comparator.comparing(NoteRecord::accepted))
                .toList();
        return CtlResult.ok(
                records, records.stream().map(NoteCommands::listLine).toList());
    }

    private static String listLine(NoteRecord note) {
        boolean accepted = note.fate() == NoteRecord.State.ACCEPTED;
        return note.id() + " " + note.fate() + (accepted ? " at " + note.accepted() : "") + " based on "
                + note.basedOn();
    }

    private static AcceptanceHistory history(CurrentConfiguration current) {
        return new AcceptanceHistory(current.revision(), current.configuration());
    }

    /** The configuration decides; the record only where its list of notes no longer reaches back. */
    private static Optional<Revision> acceptedAt(AcceptanceHistory history, NoteId id, Optional<NoteRecord> record) {
        return history.find(id)
                .map(Acceptance::revision)
                .or(() -> record.filter(note -> note.fate() == NoteRecord.State.ACCEPTED)
                        .map(NoteRecord::accepted));
    }

    public CtlResult show() {
        if (settings.note().isEmpty()) {
            return new CtlResult(ResultCode.SETTING_INVALID, Map.of(), List.of("note show needs --note ID"));
        }
        return record(new NoteId(settings.note()))
                .map(note -> CtlResult.ok(note, List.of(note.id() + " " + note.fate(), note.text())))
                .orElseGet(() -> new CtlResult(
                        ResultCode.NOTE_INVALID, Map.of("found", false), List.of("no note " + settings.note())));
    }

    /** What a note would change in the current configuration. */
    public CtlResult diff() {
        Configuration current = fleet.configuration().configuration();
        NoteParser parser = new NoteParser();
        NoteApplier application = new NoteApplier(current, fleet.noteEnvironment());
        Optional<Configuration> next = parser.parse(noteText.get()).flatMap(application::apply);
        if (next.isEmpty()) {
            List<NoteError> all = new ArrayList<>(parser.errors());
            all.addAll(application.errors());
            return faults(parser.code(), all);
        }
        List<String> lines = new ArrayList<>();
        addDifference(current.services(), next.get().services(), lines);
        addDifference(current.backends(), next.get().backends(), lines);
        return CtlResult.ok(lines, lines);
    }

    private static void addDifference(List<?> before, List<?> after, List<String> lines) {
        before.stream().filter(entry -> !after.contains(entry)).forEach(entry -> lines.add("- " + text(entry)));
        after.stream().filter(entry -> !before.contains(entry)).forEach(entry -> lines.add("+ " + text(entry)));
    }

    /** The note is accepted whatever happens here, so a fault of the store only ends in "not in force". */
    private CtlResult waitInForce(Revision revision) {
        long deadlineNanos = System.nanoTime() + settings.waitMs() * 1_000_000;
        RolloutStatus last = new RolloutStatus(revision, 0, 0, List.of(), List.of());
        String lastLine = "";
        while (true) {
            String line;
            try {
                last = RolloutStatus.of(revision, fleet.memberStatuses());
                line = last.summaryLine();
                if (last.reachesAllDaemons()) {
                    return CtlResult.ok(last, List.of(line));
                }
            } catch (CrankException e) {
                line = "accepted at revision " + revision + "; members not known: " + e.code();
            }
            if (System.nanoTime() - deadlineNanos > 0) {
                return new CtlResult(ResultCode.NOTE_NOT_IN_FORCE, last, List.of(line));
            }
            if (!line.equals(lastLine)) {
                lastLine = line;
                progress.report(line);
            }
            sleep();
        }
    }

    private static void sleep() {
        try {
            Thread.sleep(POLL_PERIOD_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private Optional<NoteRecord> record(NoteId id) {
        return fleet.notes().stream()
                .map(NoteCommands::decode)
                .filter(note -> note.id().equals(id))
                .findFirst();
    }

    private static NoteRecord decode(StoredObject object) {
        return JsonCodec.decode(object.value(), NoteRecord.class);
    }

    private static String text(Object value) {
        return new String(JsonCodec.encode(value), StandardCharsets.UTF_8);
    }

    private static CtlResult faults(ResultCode code, List<NoteError> faults) {
        return new CtlResult(
                code, faults, faults.stream().map(NoteError::toString).toList());
    }

    private static CtlResult conflict(Revision current, List<AcceptedNote> newerNotes) {
        List<String> lines = new ArrayList<>();
        lines.add("conflict: the configuration is at revision " + current);
        newerNotes.forEach(note -> lines.add("accepted since: " + note.id() + " touched " + note.touched()));
        return new CtlResult(ResultCode.NOTE_CONFLICT, new Conflict(current, newerNotes), lines);
    }
}
