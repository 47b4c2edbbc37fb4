package org.coriandercrank.control.internal;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.Digest;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.store.WatchBatch;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Keeps the {@link ClusterView} up to date.
 *
 * <p>Each daemon lists the store at its start. After that, the relay of each region watches the store, and the other
 * daemons fetch changes from peers whose digest is ahead of their own. A daemon that no longer receives changes watches
 * the store as a fallback. If the options say so, each daemon also watches the configuration itself, so that a change
 * comes into force without waiting for a relay.
 *
 * <p>A digest has the revisions up to which a daemon knows every change. Watches that end without a change advance it
 * too, so a daemon that receives the digests of a working relay advances its own about once per {@code watchWaitMs}. A
 * digest that does not advance indicates that no relay works.
 *
 * <p>After a start of many hosts at once, the listed relay may have failed with them. A daemon that has just joined
 * therefore watches the members in the store too, until it hears from a member of its region that precedes it in the
 * order of the relays. The first of the members that hear of each other goes on, so the number of watches does not grow
 * with the number of hosts. Two watches of a daemon start at least an interval apart, so that changes that come in quick
 * succession are returned together. Control thread only.
 */
public final class Dissemination {
    /** The daemon with rank 1 starts a fallback watch after this many watch waits without an advance of its digest. */
    private static final double FALLBACK_AFTER_WAITS = 2.5;

    /** A fallback watch is no longer needed if a peer advanced the digest within this many watch waits. */
    private static final int FALLBACK_PEER_SILENCE_WAITS = 2;

    /** Additional watch waits before a fallback watch, for each rank above 1. */
    private static final double EXTRA_WAITS_PER_RANK = 1;

    /**
     * Up to this rank, the wait depends on the rank alone. Daemons of higher ranks wait longer, by a random number of
     * watch waits.
     */
    private static final int MAX_FALLBACK_RANK = 8;

    /** A backend server that runs announces itself within this time, and the daemon then joins. */
    private static final long UNJOINED_WATCH_DELAY_MS = 3_000;

    /** Time after the join in which peers answer, so that of many daemons that start together only a few watch. */
    private static final long SETTLE_MS = 500;

    private static final long FETCH_TIMEOUT_MS = 1_000;
    private static final long INITIAL_RETRY_MS = 200;
    private static final long MAX_RETRY_MS = 1_000;

    /** Many daemons may watch as fallback during an outage of the store, so they retry rarely. */
    private static final long MAX_FALLBACK_RETRY_MS = 16_000;

    private static final long NANOS_PER_MS = 1_000_000;

    /** Synchronization state of the control objects of one kind. */
    private static final class SyncState {
        private final FetchObject.Kind kind;
        private boolean listed;
        private boolean storeCallInFlight;
        private boolean fetchInFlight;
        private long retryMs = INITIAL_RETRY_MS;
        private long retryAtNanos;
        private long readStartedNanos;

        SyncState(FetchObject.Kind kind, long nowNanos) {
            this.kind = kind;
            this.retryAtNanos = nowNanos;
        }
    }

    private final ControlContext context;
    private final ClusterView view;
    private final ControlMetrics metrics;
    private final Map<FetchObject.Kind, SyncState> syncStates = new EnumMap<>(FetchObject.Kind.class);
    private final int fallbackRankOffset;
    private final long startedNanos;
    private OptionalLong participatingSinceNanos = OptionalLong.empty();

    /** Members from which this daemon received a digest during its startup watch. */
    private final Set<MemberId> heardMembers = new HashSet<>();

    private long lastAdvanceNanos;
    private long lastPeerAdvanceNanos;
    private long rankedSnapshotVersion = -1;
    private Set<MemberId> rankedSuspects = Set.of();
    private int rank;
    private boolean relay;
    private boolean fallback;
    private boolean pushPending;

    public Dissemination(ControlContext context, ClusterView view, ControlMetrics metrics) {
        this.context = context;
        this.view = view;
        this.metrics = metrics;
        this.fallbackRankOffset = context.random().nextInt(MAX_FALLBACK_RANK);
        long nowNanos = context.nowNanos();
        lastAdvanceNanos = nowNanos;
        lastPeerAdvanceNanos = nowNanos;
        startedNanos = nowNanos;
        for (FetchObject.Kind kind : FetchObject.Kind.values()) {
            syncStates.put(kind, new SyncState(kind, nowNanos));
        }
    }

    /** Whether the store has been listed, so that the view is usable. */
    public boolean isListed() {
        return syncStates.values().stream().allMatch(sync -> sync.listed);
    }

    public boolean isRelay() {
        return relay;
    }

    public boolean isWatching() {
        return relay || fallback;
    }

    /** Returns whether there are updates that peers may not have, and resets the flag. */
    public boolean consumePushPending() {
        boolean pending = pushPending;
        pushPending = false;
        return pending;
    }

    /**
     * Starts listings and watches of the store that are due.
     *
     * @param self the member of this daemon, which may not have a record yet
     * @param participating whether this daemon has joined or is about to; only then it exchanges heartbeats with peers
     *     and may be a relay
     * @param suspects members that do not answer this daemon
     */
    public void tick(Member self, boolean participating, Set<MemberId> suspects, long nowNanos) {
        if (participating && participatingSinceNanos.isEmpty()) {
            participatingSinceNanos = OptionalLong.of(nowNanos);
        }
        boolean settled = participatingSinceNanos.isPresent()
                && nowNanos - participatingSinceNanos.getAsLong() >= SETTLE_MS * NANOS_PER_MS;
        updateRoles(self, settled, suspects, nowNanos);
        for (SyncState sync : syncStates.values()) {
            if (sync.storeCallInFlight || nowNanos - sync.retryAtNanos < 0) {
                continue;
            }
            boolean outdated = context.eras()
                    .era()
                    .isNewerThan(view.completeUpTo(sync.kind).era());
            if (!sync.listed || outdated) {
                list(sync);
            } else {
                watchWaitMs(sync.kind, self, participating, settled, nowNanos).ifPresent(waitMs -> watch(sync, waitMs));
            }
        }
    }

    /** Returns how long a watch of a kind waits for a change; empty if peers inform this daemon. */
    private OptionalLong watchWaitMs(
            FetchObject.Kind kind, Member self, boolean participating, boolean settled, long nowNanos) {
        ControlOptions options = context.options();
        if (isWatching()) {
            return OptionalLong.of(options.watchWaitMs());
        }
        if (kind == FetchObject.Kind.CONFIGURATION && options.configurationWatchWaitMs() > 0) {
            return OptionalLong.of(options.configurationWatchWaitMs());
        }
        boolean uninformed = participating
                ? settled && kind == FetchObject.Kind.MEMBERS && isStartupWatchActive(self, nowNanos)
                : isUnjoinedWatchActive(nowNanos);
        return uninformed ? OptionalLong.of(options.watchWaitMs()) : OptionalLong.empty();
    }

    /** Whether a daemon that does not join, for lack of a backend server, must watch the store: no peer informs it. */
    private boolean isUnjoinedWatchActive(long nowNanos) {
        return nowNanos - startedNanos > UNJOINED_WATCH_DELAY_MS * NANOS_PER_MS;
    }

    /**
     * Whether this daemon has just joined and heard from no member that precedes it as relay of its region, so that
     * peers may not keep it up to date.
     */
    private boolean isStartupWatchActive(Member self, long nowNanos) {
        return isStarting(nowNanos)
                && heardMembers.stream()
                        .flatMap(heard -> view.member(heard).stream())
                        .map(VersionedMember::member)
                        .filter(heard -> heard.region().equals(self.region()))
                        .noneMatch(heard -> relayHash(heard) < relayHash(self));
    }

    private boolean isStarting(long nowNanos) {
        long sinceNanos = participatingSinceNanos.orElse(nowNanos);
        return nowNanos - sinceNanos < context.options().startupWatchMs() * NANOS_PER_MS;
    }

    /** Handles the digest of a peer: fetches the changes that the peer knows and this daemon does not. */
    public void digestReceived(MemberId peer, Digest digest) {
        context.eras().observe(digest.latestEra(), context.nowNanos());
        if (isStarting(context.nowNanos())) {
            heardMembers.add(peer);
        }
        fetchIfAhead(peer, FetchObject.Kind.CONFIGURATION, digest.configuration());
        fetchIfAhead(peer, FetchObject.Kind.MEMBERS, digest.members());
        fetchIfAhead(peer, FetchObject.Kind.ASSIGNMENTS, digest.assignments());
    }

    private void updateRoles(Member self, boolean settled, Set<MemberId> suspects, long nowNanos) {
        long version = view.snapshotVersion();
        if (version != rankedSnapshotVersion || !suspects.equals(rankedSuspects)) {
            rankedSnapshotVersion = version;
            rankedSuspects = Set.copyOf(suspects);
            rank = rank(self, suspects);
        }
        boolean newRelay = settled && (rank == 0 || self.witnesses().isEmpty());
        if (newRelay != relay) {
            relay = newRelay;
            if (newRelay) {
                syncStates.values().forEach(sync -> sync.retryAtNanos = nowNanos);
            }
            context.log(() -> "event=relay member=" + self.id() + " active=" + newRelay + " rank=" + rank);
        }
        boolean newFallback =
                settled && !relay && (fallback ? isFallbackStillNeeded(nowNanos) : isFallbackDue(rank, nowNanos));
        if (newFallback != fallback) {
            fallback = newFallback;
            context.log(() -> "event=fallback-watch member=" + self.id() + " active=" + newFallback + " rank=" + rank);
        }
    }

    /**
     * Returns the rank of this daemon as relay of its region; 0 is the relay. A daemon without a usable record ranks
     * after all members.
     */
    private int rank(Member self, Set<MemberId> suspects) {
        Collection<VersionedMember> knownMembers = view.current().members().values();
        List<MemberId> candidates = knownMembers.stream()
                .map(VersionedMember::member)
                .filter(member -> member.region().equals(self.region()))
                .filter(member -> member.state() == MemberState.ACTIVE || member.state() == MemberState.JOINING)
                .map(Member::id)
                .filter(member -> !suspects.contains(member))
                .toList();
        if (!candidates.contains(self.id())) {
            return candidates.size();
        }
        long hash = relayHash(self);
        return (int) candidates.stream()
                .filter(member -> RendezvousHash.hash(self.region().value(), member) < hash)
                .count();
    }

    private static long relayHash(Member member) {
        return RendezvousHash.hash(member.region().value(), member.id());
    }

    /**
     * Whether the digest has not advanced for so long that this daemon must watch the store. The wait grows with the
     * rank. Beyond the largest rank it has a random part, so that not all daemons of a large cluster start to watch
     * together.
     */
    private boolean isFallbackDue(int rank, long nowNanos) {
        int rankSteps = rank <= MAX_FALLBACK_RANK ? rank - 1 : MAX_FALLBACK_RANK + fallbackRankOffset;
        double waits = FALLBACK_AFTER_WAITS + EXTRA_WAITS_PER_RANK * Math.max(0, rankSteps);
        return nowNanos - lastAdvanceNanos > waits * context.options().watchWaitMs() * NANOS_PER_MS;
    }

    /** Whether peers have not advanced the digest recently, so that this daemon still has to watch the store. */
    private boolean isFallbackStillNeeded(long nowNanos) {
        return nowNanos - lastPeerAdvanceNanos
                > FALLBACK_PEER_SILENCE_WAITS * context.options().watchWaitMs() * NANOS_PER_MS;
    }

    private void list(SyncState sync) {
        sync.storeCallInFlight = true;
        sync.readStartedNanos = context.nowNanos();
        context.callWithTimeout(
                () -> context.dependencies().store().list(ClusterView.prefix(sync.kind)),
                context.options().listTimeoutMs(),
                (batch, failure) -> {
                    sync.storeCallInFlight = false;
                    if (failure == null) {
                        sync.listed = true;
                        storeAnswered(sync, new WatchBatch(batch.upTo(), batch.changes(), true));
                    } else {
                        storeFailed(sync, "list", failure);
                    }
                });
    }

    private void watch(SyncState sync, long waitMs) {
        sync.storeCallInFlight = true;
        sync.readStartedNanos = context.nowNanos();
        Revision after = view.completeUpTo(sync.kind);
        context.callWithTimeout(
                () -> context.dependencies().store().watch(ClusterView.prefix(sync.kind), after, waitMs),
                waitMs + context.options().storeTimeoutMs(),
                (batch, failure) -> {
                    sync.storeCallInFlight = false;
                    if (failure == null) {
                        storeAnswered(sync, batch);
                    } else {
                        storeFailed(sync, "watch", failure);
                    }
                });
    }

    private void storeAnswered(SyncState sync, WatchBatch batch) {
        sync.retryMs = INITIAL_RETRY_MS;
        long nowNanos = context.nowNanos();
        sync.retryAtNanos = Math.max(nowNanos, sync.readStartedNanos + watchIntervalNanos());
        ObjectData data = new ObjectData(sync.kind, batch.upTo(), batch.reset(), batch.changes());
        if (!apply(sync.kind, data, nowNanos) && isWatching()) {
            storeUnchanged(nowNanos);
        }
    }

    private long watchIntervalNanos() {
        long intervalMs = relay
                ? context.options().relayWatchIntervalMs()
                : context.options().ownWatchIntervalMs();
        return intervalMs * NANOS_PER_MS;
    }

    /** Ends the fallback: the store has no newer changes, so the digest did not stop because of a failed relay. */
    private void storeUnchanged(long nowNanos) {
        lastAdvanceNanos = nowNanos;
        fallback = false;
    }

    private void storeFailed(SyncState sync, String operation, CrankException failure) {
        long retryMs = context.jitteredMs(sync.retryMs);
        sync.retryAtNanos = context.nowNanos() + retryMs * NANOS_PER_MS;
        sync.retryMs = Math.min(2 * sync.retryMs, fallback ? MAX_FALLBACK_RETRY_MS : MAX_RETRY_MS);
        context.log(() -> "event=store-retry operation=" + operation + " kind=" + sync.kind + " code=" + failure.code()
                + " retryMs=" + retryMs);
    }

    private void fetchIfAhead(MemberId peer, FetchObject.Kind kind, Revision peerRevision) {
        SyncState sync = syncStates.get(kind);
        Revision completeRevision = view.completeUpTo(kind);
        if (sync.fetchInFlight || !sync.listed || !peerRevision.isNewerThan(completeRevision)) {
            return;
        }
        view.member(peer).ifPresent(record -> {
            sync.fetchInFlight = true;
            metrics.fetched();
            PeerTarget target = PeerTarget.of(record.member());
            context.callWithTimeout(
                    () -> context.dependencies()
                            .peerClient()
                            .call(target, new FetchObject(kind, completeRevision), ObjectData.class, FETCH_TIMEOUT_MS),
                    FETCH_TIMEOUT_MS,
                    (data, failure) -> {
                        sync.fetchInFlight = false;
                        if (failure == null && data.kind() == kind && apply(kind, data, context.nowNanos())) {
                            lastPeerAdvanceNanos = context.nowNanos();
                        }
                    });
        });
    }

    /** Applies objects to the view and returns whether the digest advanced. */
    private boolean apply(FetchObject.Kind kind, ObjectData data, long nowNanos) {
        Revision before = view.completeUpTo(kind);
        pushPending |= view.apply(kind, data.objects(), data.upTo(), data.reset());
        boolean advanced = view.completeUpTo(kind).isNewerThan(before);
        if (advanced) {
            lastAdvanceNanos = nowNanos;
        }
        return advanced;
    }
}
