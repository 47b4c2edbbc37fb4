package org.coriandercrank.note;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.config.AcceptedNote;
import org.coriandercrank.kernel.config.BackendRule;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.note.NoteError.Kind;
import org.coriandercrank.note.ReleaseNote.Action;
import org.coriandercrank.note.ReleaseNote.Entry;
import org.coriandercrank.note.ReleaseNote.Subject;
import org.coriandercrank.note.internal.EntryMerger;

/**
 * Applies a release note to a configuration, as a whole or not at all. Not thread safe; use one instance for each note.
 *
 * <p>Policy names and withdrawn services are checked against an {@link Environment}, so that a note cannot select a
 * policy that no daemon has, or withdraw a service that backend servers still serve.
 */
public final class NoteApplier {
    /**
     * State outside of the configuration against which a note is checked. Immutable.
     *
     * @param servicesInUse services that a backend server serves without being drained
     * @param placementPolicies names of the available placement policies
     * @param balancingPolicies names of the available balancing policies
     */
    public record Environment(
            Set<ServiceName> servicesInUse, Set<String> placementPolicies, Set<String> balancingPolicies) {
        public Environment {
            servicesInUse = Set.copyOf(servicesInUse);
            placementPolicies = Set.copyOf(placementPolicies);
            balancingPolicies = Set.copyOf(balancingPolicies);
        }
    }

    private final Configuration base;
    private final Environment environment;
    private final List<NoteError> errors = new ArrayList<>();
    private final Map<String, ServiceConfig> services = new LinkedHashMap<>();
    private final Map<String, BackendRule> backends = new LinkedHashMap<>();

    public NoteApplier(Configuration base, Environment environment) {
        this.base = base;
        this.environment = environment;
        base.services().forEach(service -> services.put(service.name().value(), service));
        base.backends().forEach(rule -> backends.put(rule.backendName(), rule));
    }

    /** Returns the new configuration, or empty if there are errors. */
    public Optional<Configuration> apply(ReleaseNote note) {
        rejectConflictingEntries(note);
        for (Entry entry : note.entries()) {
            if (entry.subject() == Subject.SERVICE) {
                applyService(entry);
            } else {
                applyBackend(entry);
            }
        }
        if (!errors.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new Configuration(List.copyOf(services.values()), List.copyOf(backends.values()), recentNotes(note))
                        .withVersion(base.version() + 1));
    }

    public List<NoteError> errors() {
        return List.copyOf(errors);
    }

    private void rejectConflictingEntries(ReleaseNote note) {
        Map<String, Entry> firstByName = new HashMap<>();
        for (Entry entry : note.entries()) {
            Entry earlierEntry = firstByName.putIfAbsent(entry.subject() + "/" + entry.name(), entry);
            if (earlierEntry != null) {
                errors.add(new NoteError(
                        entry.path(),
                        Kind.CONFLICTING_ENTRIES,
                        entry.name() + " is also named by " + earlierEntry.path()));
            }
        }
    }

    private void applyService(Entry entry) {
        if (!checkExistence(entry, services.containsKey(entry.name()))) {
            return;
        }
        if (entry.action() == Action.WITHDRAW) {
            withdrawService(entry);
            return;
        }
        ServiceConfig current = services.get(entry.name());
        newServiceBase(entry, current)
                .flatMap(base -> EntryMerger.merge(base, entry, ServiceConfig.class, errors))
                .ifPresent(service -> putService(entry, current, service));
    }

    private Optional<ServiceConfig> newServiceBase(Entry entry, ServiceConfig current) {
        if (current != null) {
            return Optional.of(current);
        }
        if (!entry.fields().has("keyed")) {
            errors.add(new NoteError(
                    entry.path() + ".keyed", Kind.MISSING, "a new service must state whether it is keyed"));
            return Optional.empty();
        }
        try {
            return Optional.of(ServiceConfig.withDefaults(new ServiceName(entry.name()), true));
        } catch (IllegalArgumentException e) {
            errors.add(new NoteError(entry.path() + ".name", Kind.OUT_OF_RANGE, e.getMessage()));
            return Optional.empty();
        }
    }

    private void putService(Entry entry, ServiceConfig current, ServiceConfig service) {
        if (current != null && current.keyed() != service.keyed()) {
            errors.add(new NoteError(
                    entry.path() + ".keyed", Kind.IN_USE, "cannot change; withdraw the service and add it again"));
        }
        checkPolicy(entry.path() + ".placementPolicy", service.placementPolicy(), environment.placementPolicies());
        checkPolicy(entry.path() + ".balancingPolicy", service.balancingPolicy(), environment.balancingPolicies());
        services.put(entry.name(), service);
    }

    private void checkPolicy(String path, String policy, Set<String> available) {
        if (!available.contains(policy)) {
            errors.add(new NoteError(
                    path,
                    Kind.NOT_FOUND,
                    "no policy " + policy + "; available: "
                            + available.stream().sorted().toList()));
        }
    }

    private void withdrawService(Entry entry) {
        if (environment.servicesInUse().contains(new ServiceName(entry.name()))) {
            errors.add(new NoteError(
                    entry.path(),
                    Kind.IN_USE,
                    "backend servers still serve " + entry.name() + "; drain or stop them first"));
        }
        services.remove(entry.name());
    }

    private void applyBackend(Entry entry) {
        if (!checkExistence(entry, backends.containsKey(entry.name()))) {
            return;
        }
        if (entry.action() == Action.WITHDRAW) {
            backends.remove(entry.name());
            return;
        }
        BackendRule current = backends.getOrDefault(
                entry.name(), new BackendRule(entry.name(), BackendRule.DEFAULT_WEIGHT_PERCENT, false));
        EntryMerger.merge(current, entry, BackendRule.class, errors)
                .ifPresent(rule -> backends.put(entry.name(), rule));
    }

    private boolean checkExistence(Entry entry, boolean exists) {
        if (entry.action() == Action.ADD && exists) {
            errors.add(new NoteError(entry.path(), Kind.ALREADY_EXISTS, entry.name() + " exists; use change"));
            return false;
        }
        if (entry.action() != Action.ADD && !exists) {
            errors.add(new NoteError(entry.path(), Kind.NOT_FOUND, "there is no " + entry.name()));
            return false;
        }
        return true;
    }

    private List<AcceptedNote> recentNotes(ReleaseNote note) {
        List<String> changedObjects = note.entries().stream()
                .map(entry -> entry.subject().field() + "/" + entry.name())
                .toList();
        List<AcceptedNote> notes = new ArrayList<>();
        notes.add(new AcceptedNote(note.id(), note.basedOn(), changedObjects));
        notes.addAll(base.recentNotes());
        return notes.subList(0, Math.min(notes.size(), Configuration.MAX_RECENT_NOTES));
    }
}
