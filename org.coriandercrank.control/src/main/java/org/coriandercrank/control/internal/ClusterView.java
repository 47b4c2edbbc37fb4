package org.coriandercrank.control.internal;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.Digest;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.ownership.StoreEra;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.TableCodec;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;

/**
 * The control objects that this daemon knows. They are kept in stored form for other daemons and are published as
 * decoded snapshots.
 *
 * <p>Invariant: no object reverts to an older revision. If the store returns from an older copy, the tables with the
 * newest generations, the configuration with the newest version and, for some seconds, the members that the store lost
 * stay in force. If an object cannot be decoded, its last decodable revision stays in force. {@link #current},
 * {@link #storeEra}, {@link #subscribe} and {@link #await} are thread safe; all other methods must be called on the
 * control thread.
 */
public final class ClusterView implements RoutingView {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private record Waiter(Predicate<RoutingSnapshot> condition, CompletableFuture<RoutingSnapshot> result) {}

    private final ControlContext context;
    private final Map<FetchObject.Kind, ObjectCache> caches = new EnumMap<>(FetchObject.Kind.class);
    private final Map<ServiceName, AssignmentTable> tables = new HashMap<>();
    private final Map<MemberId, VersionedMember> members = new HashMap<>();
    private final EvacuatedDomains evacuatedDomains;
    private final Map<MemberId, Long> revisionSeenNanos = new HashMap<>();
    private final Consumer<Member> memberListener;
    private final List<Consumer<RoutingSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private Configuration configuration = Configuration.EMPTY;
    private Revision configurationRevision = Revision.NONE;

    /** The configuration in force as the store had it, which is not in the cache if the store has lost it. */
    private Optional<StoredObject> configurationObject = Optional.empty();

    private long snapshotVersion;
    private final MissingMembers missingMembers = new MissingMembers();
    private volatile RoutingSnapshot snapshot;
    private volatile StoreEra storeEra = StoreEra.NONE;
    private Era reportedEra = Era.NONE;
    private Supplier<OptionalLong> proofAgeMs = OptionalLong::empty;

    /** @param memberListener called on the control thread with each member record that is new or has changed */
    public ClusterView(ControlContext context, MemberId self, Consumer<Member> memberListener) {
        this.context = context;
        this.memberListener = memberListener;
        this.evacuatedDomains = new EvacuatedDomains(context);
        this.snapshot = RoutingSnapshot.empty(self);
        for (FetchObject.Kind kind : FetchObject.Kind.values()) {
            caches.put(kind, new ObjectCache(kind));
        }
    }

    /**
     * Sets what tells, for log lines, how many milliseconds ago the configuration in force was known to be the newest;
     * empty if it never was.
     */
    void reportProofAge(Supplier<OptionalLong> newProofAgeMs) {
        proofAgeMs = newProofAgeMs;
    }

    private String proofAge() {
        OptionalLong ageMs = proofAgeMs.get();
        return ageMs.isPresent() ? Long.toString(ageMs.getAsLong()) : "none";
    }

    /** Returns the prefix of the object names of a kind. */
    public static String prefix(FetchObject.Kind kind) {
        return switch (kind) {
            case CONFIGURATION -> ObjectNames.CONFIGURATION_PREFIX;
            case MEMBERS -> ObjectNames.MEMBERS_PREFIX;
            case ASSIGNMENTS -> ObjectNames.ASSIGNMENTS_PREFIX;
            case EVACUATIONS -> ObjectNames.EVACUATIONS_PREFIX;
        };
    }

    @Override
    public RoutingSnapshot current() {
        return snapshot;
    }

    @Override
    public StoreEra storeEra() {
        return storeEra;
    }

    /**
     * Publishes the latest era. Once it has settled, the members whose records were not written again are dropped.
     * Returns whether the era is new.
     */
    public boolean updateEra() {
        storeEra = new StoreEra(context.eras().era(), isEraSettled());
        if (storeEra.settled() && !missingMembers.isEmpty()) {
            context.log(() -> "event=store-era-settled era=" + storeEra.era() + " lost=" + missingMembers);
            missingMembers.take().forEach(this::removeMember);
            publish(snapshot.self());
        }
        boolean isNew = !reportedEra.equals(storeEra.era());
        reportedEra = storeEra.era();
        return isNew;
    }

    private boolean isEraSettled() {
        return context.eras().isSettled(context.nowNanos());
    }

    @Override
    public void subscribe(Consumer<RoutingSnapshot> listener) {
        listeners.add(listener);
    }

    @Override
    public CompletableFuture<RoutingSnapshot> await(Predicate<RoutingSnapshot> condition, long waitMs) {
        CompletableFuture<RoutingSnapshot> result = new CompletableFuture<>();
        context.execute(() -> {
            if (condition.test(snapshot)) {
                result.complete(snapshot);
                return;
            }
            Waiter waiter = new Waiter(condition, result);
            waiters.add(waiter);
            context.dependencies().timers().once(waitMs, context.executor(), () -> expire(waiter));
        });
        return result;
    }

    /** Publishes a snapshot in which this daemon has another member id. */
    public void setSelf(MemberId self) {
        publish(self);
    }

    /** Returns the number of snapshots published so far, which identifies the current snapshot. */
    public long snapshotVersion() {
        return snapshotVersion;
    }

    /** Returns the revision up to which every change of a kind is known. */
    public Revision completeUpTo(FetchObject.Kind kind) {
        return caches.get(kind).completeUpTo();
    }

    /** Returns the highest revision of a known object of a kind. */
    public Revision latestObjectRevision(FetchObject.Kind kind) {
        return caches.get(kind).latestObjectRevision();
    }

    /** Returns the revisions up to which this daemon knows every change of each kind. */
    public Digest digest() {
        return new Digest(
                completeUpTo(FetchObject.Kind.CONFIGURATION),
                completeUpTo(FetchObject.Kind.MEMBERS),
                completeUpTo(FetchObject.Kind.ASSIGNMENTS),
                completeUpTo(FetchObject.Kind.EVACUATIONS));
    }

    /**
     * Returns the changes of a kind after a revision. See {@link ObjectCache#changesSince}. If the revision is beyond the
     * position of this daemon and of a later era than the configuration in force, that configuration is returned, because
     * the store may have lost it.
     */
    public ObjectData changesSince(FetchObject.Kind kind, Revision newerThan) {
        boolean maybeLost = kind == FetchObject.Kind.CONFIGURATION
                && newerThan.era().isNewerThan(configurationRevision.era())
                && !completeUpTo(kind).isNewerThan(newerThan);
        return maybeLost && configurationObject.isPresent()
                ? new ObjectData(kind, completeUpTo(kind), false, List.of(configurationObject.get()))
                : caches.get(kind).changesSince(newerThan);
    }

    /**
     * Puts a configuration of an earlier era into force if its version is higher than that of the one in force. The
     * stored object stays in the cache, and each later one with at least this version replaces it.
     */
    public void offerEarlierConfiguration(StoredObject object) {
        if (!object.name().equals(ObjectNames.CONFIGURATION)
                || object.deleted()
                || !completeUpTo(FetchObject.Kind.CONFIGURATION)
                        .era()
                        .isNewerThan(object.revision().era())) {
            return;
        }
        try {
            Configuration offered = JsonCodec.decode(object.value(), Configuration.class);
            if (offered.version() > configuration.version()) {
                putIntoForce(object, offered, UpdateSource.PEER);
                publish(snapshot.self());
            }
        } catch (CrankException | IllegalArgumentException e) {
            logger.atWarning().withCause(e).log(
                    "event=object-unreadable name=%s revision=%s", object.name(), object.revision());
        }
    }

    /** Applies changes and returns those that were newer than the known state. See {@link ObjectCache#apply}. */
    public List<StoredObject> apply(ObjectData data, UpdateSource source) {
        observeEraOf(data.upTo());
        List<StoredObject> applied = caches.get(data.kind()).apply(data.objects(), data.upTo(), data.reset());
        applied.forEach(change -> decode(data.kind(), change, source));
        if (!applied.isEmpty()) {
            publish(snapshot.self());
        }
        return applied;
    }

    /** Publishes the era of a position. A table of an earlier era must not be published without it. */
    private void observeEraOf(Revision position) {
        context.eras().observe(position.era(), context.nowNanos());
        if (context.eras().era().isNewerThan(storeEra.era())) {
            storeEra = new StoreEra(context.eras().era(), false);
        }
    }

    /** Applies a member record that this daemon has just written or read. */
    public void applyMember(VersionedMember versionedMember) {
        Member member = versionedMember.member();
        StoredObject object =
                StoredObject.of(ObjectNames.member(member.id()), versionedMember.revision(), JsonCodec.encode(member));
        if (caches.get(FetchObject.Kind.MEMBERS).applySingle(object)) {
            decode(FetchObject.Kind.MEMBERS, object, UpdateSource.OWN);
            publish(snapshot.self());
        }
    }

    /** Applies a single object that a peer pushed; does not change {@link #completeUpTo}. */
    public void applyPushed(FetchObject.Kind kind, StoredObject object) {
        observeEraOf(object.revision());
        if (object.name().startsWith(prefix(kind)) && caches.get(kind).applySingle(object)) {
            decode(kind, object, UpdateSource.PUSH);
            publish(snapshot.self());
        }
    }

    /** Returns when this daemon first saw the current revision of a member's record; empty if the member is unknown. */
    public OptionalLong revisionSeenNanos(MemberId member) {
        Long seenNanos = revisionSeenNanos.get(member);
        return seenNanos == null ? OptionalLong.empty() : OptionalLong.of(seenNanos);
    }

    private void decode(FetchObject.Kind kind, StoredObject change, UpdateSource source) {
        try {
            switch (kind) {
                case CONFIGURATION -> decodeConfiguration(change, source);
                case MEMBERS -> decodeMember(change);
                case ASSIGNMENTS -> decodeTable(change);
                case EVACUATIONS -> evacuatedDomains.apply(change);
            }
        } catch (CrankException | IllegalArgumentException e) {
            logger.atWarning().withCause(e).log(
                    "event=object-unreadable name=%s revision=%s", change.name(), change.revision());
        }
    }

    private void decodeConfiguration(StoredObject change, UpdateSource source) {
        if (!change.name().equals(ObjectNames.CONFIGURATION)) {
            return;
        }
        if (change.deleted()) {
            logger.atWarning().log(
                    "event=configuration-deleted revision=%s kept=%s", change.revision(), configurationRevision);
            return;
        }
        Configuration changed = JsonCodec.decode(change.value(), Configuration.class);
        if (change.revision().era().isNewerThan(configurationRevision.era())
                && changed.version() < configuration.version()) {
            context.log(() -> "event=configuration-kept revision=" + configurationRevision + " version="
                    + configuration.version() + " stored=" + changed.version() + " proofAgeMs=" + proofAge());
            return;
        }
        putIntoForce(change, changed, source);
    }

    private void putIntoForce(StoredObject change, Configuration changed, UpdateSource source) {
        configuration = changed;
        configurationRevision = change.revision();
        configurationObject = Optional.of(change);
        context.log(() -> "event=configuration-in-force version=" + changed.version() + " revision=" + change.revision()
                + " source=" + source + " position=" + completeUpTo(FetchObject.Kind.CONFIGURATION)
                + " proofAgeMs=" + proofAge());
    }

    private void decodeMember(StoredObject change) {
        MemberId id = new MemberId(change.name().substring(ObjectNames.MEMBERS_PREFIX.length()));
        if (change.deleted()) {
            if (!missingMembers.keep(members.get(id), change.revision(), isEraSettled())) {
                removeMember(id);
            }
            return;
        }
        Member member = JsonCodec.decode(change.value(), Member.class);
        if (!member.id().equals(id)) {
            throw new IllegalArgumentException(
                    "the record of " + member.id() + " is stored under the name " + change.name());
        }
        missingMembers.recordSeen(id);
        members.put(id, new VersionedMember(member, change.revision()));
        revisionSeenNanos.put(id, context.nowNanos());
        memberListener.accept(member);
    }

    private void removeMember(MemberId id) {
        members.remove(id);
        revisionSeenNanos.remove(id);
    }

    /** The generation of a table grows with each write, so an older or missing table was lost by the store. */
    private void decodeTable(StoredObject change) {
        ServiceName service = new ServiceName(change.name().substring(ObjectNames.ASSIGNMENTS_PREFIX.length()));
        AssignmentTable known = tables.get(service);
        Generation stored = change.deleted()
                ? Generation.NONE
                : TableCodec.decode(change.value()).generation();
        if (known != null && known.generation().isNewerThan(stored)) {
            context.log(() -> "event=table-kept service=" + service + " generation=" + known.generation() + " stored="
                    + stored + " revision=" + change.revision());
            return;
        }
        if (!change.deleted()) {
            tables.put(service, TableCodec.decode(change.value()));
        }
    }

    private void publish(MemberId self) {
        RoutingSnapshot next = new RoutingSnapshot(
                self, configurationRevision, configuration, tables, members, evacuatedDomains.domains());
        snapshotVersion++;
        snapshot = next;
        for (Consumer<RoutingSnapshot> listener : listeners) {
            try {
                listener.accept(next);
            } catch (RuntimeException e) {
                logger.atSevere().withCause(e).log("event=listener-failed");
            }
        }
        for (Iterator<Waiter> i = waiters.iterator(); i.hasNext(); ) {
            Waiter waiter = i.next();
            if (waiter.condition().test(next)) {
                i.remove();
                waiter.result().complete(next);
            }
        }
    }

    private void expire(Waiter waiter) {
        if (waiters.remove(waiter)) {
            waiter.result()
                    .completeExceptionally(new CrankException(
                            ResultCode.CALL_TIMEOUT, "no snapshot met the condition before the timeout"));
        }
    }

    /** Returns the record of a member; empty if unknown. */
    public Optional<VersionedMember> member(MemberId id) {
        return Optional.ofNullable(members.get(id));
    }
}
