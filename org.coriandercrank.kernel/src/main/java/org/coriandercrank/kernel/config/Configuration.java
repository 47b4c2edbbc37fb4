package org.coriandercrank.kernel.config;

import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * The complete configuration, stored in the object {@code config/current}.
 *
 * <p>Immutable. Its revision is the store revision of that object. {@code recentNotes} holds the most recently accepted
 * release notes, newest first, so that a submitter who received no answer can find out whether its note was accepted. A
 * stored configuration without {@code routes} has no routes.
 *
 * @param version grows with each change of the configuration; tells which of two is newer if the store has returned from
 *     an older copy. 0 if it is not known
 */
public record Configuration(
        List<ServiceConfig> services,
        List<BackendRule> backends,
        List<AcceptedNote> recentNotes,
        List<Route> routes,
        long version) {
    public static final Configuration EMPTY = new Configuration(List.of(), List.of(), List.of());
    public static final int MAX_RECENT_NOTES = 256;

    public Configuration {
        services = List.copyOf(services);
        backends = List.copyOf(backends);
        recentNotes = List.copyOf(recentNotes);
        routes = routes == null ? List.of() : List.copyOf(routes);
    }

    /** A configuration without routes. */
    public Configuration(List<ServiceConfig> services, List<BackendRule> backends, List<AcceptedNote> recentNotes) {
        this(services, backends, recentNotes, List.of(), 0);
    }

    /** A configuration without a version. */
    public Configuration(
            List<ServiceConfig> services,
            List<BackendRule> backends,
            List<AcceptedNote> recentNotes,
            List<Route> routes) {
        this(services, backends, recentNotes, routes, 0);
    }

    /** Returns the same configuration with another version. */
    public Configuration withVersion(long newVersion) {
        return new Configuration(services, backends, recentNotes, routes, newVersion);
    }

    public Optional<ServiceConfig> service(ServiceName name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst();
    }

    public Optional<BackendRule> backend(String backendName) {
        return backends.stream()
                .filter(b -> b.backendName().equals(backendName))
                .findFirst();
    }

    public boolean wasAccepted(NoteId note) {
        return recentNotes.stream().anyMatch(n -> n.id().equals(note));
    }

    public boolean isDraining(String backendName) {
        return backend(backendName).map(BackendRule::drain).orElse(false);
    }

    public int weightPercent(String backendName) {
        return backend(backendName).map(BackendRule::weightPercent).orElse(BackendRule.DEFAULT_WEIGHT_PERCENT);
    }
}
