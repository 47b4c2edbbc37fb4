package org.coriandercrank.ctl.internal;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.plugin.PluginRegistry.Kind;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.TableCodec;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.note.NoteApplier;

/** Reads the current state of the cluster from the store and the daemons. Thread safe; methods block. */
public final class ClusterReader {
    private static final int STATUS_OK = 200;
    private static final long STATUS_TIMEOUT_MS = 1_000;

    /** The current configuration and its revision. Immutable. */
    public record CurrentConfiguration(Revision revision, Configuration configuration) {}

    /**
     * A member and the status of its daemon. Immutable.
     *
     * @param status empty if the daemon did not answer, or answered for another member
     */
    public record MemberStatus(Member member, Optional<DaemonStatus> status) {}

    private final ObjectStore store;
    private final EventLoopGroup eventLoopGroup;
    private final PluginRegistry plugins;

    public ClusterReader(ObjectStore store, EventLoopGroup eventLoopGroup, PluginRegistry plugins) {
        this.store = store;
        this.eventLoopGroup = eventLoopGroup;
        this.plugins = plugins;
    }

    ObjectStore store() {
        return store;
    }

    CurrentConfiguration currentConfiguration() {
        return await(store.get(ObjectNames.CONFIGURATION))
                .map(object -> new CurrentConfiguration(
                        object.revision(), JsonCodec.decode(object.value(), Configuration.class)))
                .orElse(new CurrentConfiguration(Revision.NONE, Configuration.EMPTY));
    }

    List<Member> members() {
        return await(store.list(ObjectNames.MEMBERS_PREFIX)).changes().stream()
                .map(object -> JsonCodec.decode(object.value(), Member.class))
                .toList();
    }

    List<AssignmentTable> tables() {
        return await(store.list(ObjectNames.ASSIGNMENTS_PREFIX)).changes().stream()
                .map(object -> TableCodec.decode(object.value()))
                .toList();
    }

    Optional<AssignmentTable> table(ServiceName service) {
        return await(store.get(ObjectNames.assignments(service))).map(object -> TableCodec.decode(object.value()));
    }

    List<StoredObject> notes() {
        return await(store.list(ObjectNames.NOTES_PREFIX)).changes();
    }

    /** Returns all members that are not sealed, with the status of their daemons; queries the daemons in parallel. */
    List<MemberStatus> memberStatuses() {
        List<CompletableFuture<MemberStatus>> pending = new ArrayList<>();
        for (Member member : members()) {
            if (member.state() != MemberState.SEALED) {
                pending.add(requestStatus(member).thenApply(status -> new MemberStatus(member, status)));
            }
        }
        return pending.stream().map(CompletableFuture::join).toList();
    }

    /** Returns what notes are checked against: the services in use and the names of the available policies. */
    NoteApplier.Environment noteEnvironment() {
        Configuration configuration = currentConfiguration().configuration();
        Set<ServiceName> servicesInUse = members().stream()
                .filter(member -> member.state() == MemberState.ACTIVE)
                .flatMap(member -> member.backend().stream())
                .filter(backend -> !configuration.isDraining(backend.name()))
                .map(backend -> backend.service())
                .collect(Collectors.toSet());
        return new NoteApplier.Environment(servicesInUse, plugins.names(Kind.PLACEMENT), plugins.names(Kind.BALANCING));
    }

    private CompletableFuture<Optional<DaemonStatus>> requestStatus(Member member) {
        HttpClient client =
                new HttpClient(eventLoopGroup, member.adminAddress(), HttpClientOptions.DEFAULTS.withMaxConnections(1));
        return client.send(HttpRequest.of("GET", "/v1/status"), STATUS_TIMEOUT_MS)
                .handle((response, failure) -> {
                    client.close();
                    if (failure != null || response.status() != STATUS_OK) {
                        return Optional.<DaemonStatus>empty();
                    }
                    try {
                        return Optional.of(JsonCodec.decode(response.body(), DaemonStatus.class))
                                .filter(status -> status.member().equals(member.id()));
                    } catch (CrankException e) {
                        return Optional.<DaemonStatus>empty();
                    }
                });
    }

    private static <T> T await(CompletableFuture<T> future) {
        try {
            return future.join();
        } catch (RuntimeException e) {
            throw CrankException.of(e);
        }
    }
}
