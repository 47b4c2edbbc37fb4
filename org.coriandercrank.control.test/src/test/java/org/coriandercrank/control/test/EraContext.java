package org.coriandercrank.control.test;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.control.ControlDependencies;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.control.HostIdentity;
import org.coriandercrank.control.internal.ClusterView;
import org.coriandercrank.control.internal.ControlContext;
import org.coriandercrank.control.internal.ControlMetrics;
import org.coriandercrank.control.internal.UpdateSource;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * The view of one daemon in virtual time, with peers that do not answer and a store that answers listings only. Not
 * thread safe.
 */
final class EraContext implements ObjectStore, PeerClient {
    private static final HostAddress ADDRESS = new HostAddress("127.0.0.1", 1);
    private static final Region REGION = new Region("r");
    private static final FailureDomain DOMAIN = new FailureDomain("d");

    private final VirtualTime time = new VirtualTime();
    private final List<String> listings = new ArrayList<>();
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final ControlContext context;
    private final ClusterView view;
    private Era era;

    EraContext(ControlOptions options, MemberId self, Era era) {
        this.era = era;
        ControlDependencies dependencies = new ControlDependencies(
                this,
                this,
                new PeerHandlers(),
                time.timers(),
                new DecisionLog(0, time.timers().clock()),
                registry);
        HostIdentity identity = HostIdentity.ofAddress(ADDRESS, ADDRESS, ADDRESS, REGION, DOMAIN);
        context = new ControlContext(options, identity, dependencies, task -> time.schedule(0, task), new Random(1));
        view = new ClusterView(context, self, member -> {});
    }

    VirtualTime time() {
        return time;
    }

    ControlContext context() {
        return context;
    }

    ClusterView view() {
        return view;
    }

    ControlMetrics newMetrics() {
        return new ControlMetrics(registry, () -> 0, () -> 0, () -> 0);
    }

    /** Returns the prefixes that were listed, in the order of the calls. */
    List<String> listings() {
        return listings;
    }

    void setEra(Era newEra) {
        era = newEra;
    }

    /** Applies a complete listing of the members that a relay received. */
    void applyMembers(Revision upTo, StoredObject... records) {
        view.apply(new ObjectData(FetchObject.Kind.MEMBERS, upTo, true, List.of(records)), UpdateSource.LISTING);
    }

    static Member member(MemberId id) {
        return new Member(
                id, ADDRESS, ADDRESS, ADDRESS, REGION, DOMAIN, MemberState.ACTIVE, Optional.empty(), List.of());
    }

    static StoredObject record(MemberId id, Revision revision) {
        return StoredObject.of(ObjectNames.member(id), revision, JsonCodec.encode(member(id)));
    }

    @Override
    public CompletableFuture<WatchBatch> list(String prefix) {
        listings.add(prefix);
        return CompletableFuture.completedFuture(new WatchBatch(Revision.of(era, 10), List.of(), true));
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(String name) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Revision> put(String name, byte[] value, Revision expected) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> delete(String name, Revision expected) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<WatchBatch> watch(String prefix, Revision after, long waitMs) {
        return new CompletableFuture<>();
    }

    @Override
    public <A extends Message> CompletableFuture<A> call(
            PeerTarget target, Message message, Class<A> answerType, long timeoutMs) {
        return new CompletableFuture<>();
    }

    @Override
    public void send(PeerTarget target, Message message) {}

    @Override
    public void close() {}
}
