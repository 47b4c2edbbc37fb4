package org.coriandercrank.control.internal;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.Digest;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.ownership.ConfigurationProof;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;
import org.coriandercrank.kernel.table.Member;

/**
 * Keeps the {@link ClusterView} up to date.
 *
 * <p>Each daemon lists the store at its start. After that, the relay of each region watches the store, and the other
 * daemons fetch changes from peers whose digest is ahead of their own. A daemon that no longer receives changes watches
 * the store as a fallback. If the options say so, each daemon also watches the configuration itself, so that a change
 * comes into force without waiting for a relay.
 *
 * <p>An outstanding call is no proof that nothing has changed, because its answer may be lost on a connection that stays
 * open, see {@link StoreCall}. Each kind of object has a proof of its own. A watch is replaced when it is overdue, when
 * the role of this daemon asks for a shorter wait, when a new era began, and when other evidence suggests that its answer
 * was lost: another call without an answer, a change that a peer knew first, or the loss of the relay.
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
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long MAX_RETRY_MS = 1_000;

    /** The other daemons of the region wait for the relay, also after an outage. */
    private static final long MAX_RELAY_RETRY_MS = 500;

    /** Many daemons may watch as fallback during an outage of the store, so they retry rarely. */
    private static final long MAX_FALLBACK_RETRY_MS = 16_000;

    /** A watch is overdue this long after the end of its wait. */
    private static final long ANSWER_DUE_MS = 200;

    private static final long LISTING_DUE_MS = 1_000;

    /** The answer to an overdue call is still waited for if the call is given up within this time. */
    private static final long LATE_ANSWER_NANOS = 500 * NANOS_PER_MS;

    /** A watch answers a change that this daemon has learned from a peer within this time. */
    private static final long KNOWN_CHANGE_ANSWER_NANOS = 500 * NANOS_PER_MS;

    /** Suspects are replaced at this age, so that a store that loses many answers is not called ever more often. */
    private static final long MIN_SUSPECT_AGE_NANOS = 2_000 * NANOS_PER_MS;

    /** Time in which the answer that names a new era is followed by the listing that it leads to. */
    private static final long ERA_ANSWER_NANOS = 500 * NANOS_PER_MS;

    /** After a call without an answer, the next watch does not wait, so that it shows soon whether the store answers. */
    private static final long PROBE_WAIT_MS = 1;

    private final ControlContext context;
    private final ClusterView view;
    private final ControlMetrics metrics;
    private final Map<FetchObject.Kind, KindSync> syncs = new EnumMap<>(FetchObject.Kind.class);
    private final FallbackPolicy fallbackPolicy;
    private final StartupWatch startupWatch;
    private final RelayRanking ranking;
    private final ConfigurationConfirmation confirmation;
    private final PeerFetcher fetcher;
    private final LostConfigurationSearch lostConfigurationSearch;
    private boolean relay;
    private boolean pushPending;

    public Dissemination(ControlContext context, ClusterView view, ControlMetrics metrics) {
        this.context = context;
        this.view = view;
        this.metrics = metrics;
        this.fallbackPolicy = new FallbackPolicy(context);
        this.ranking = new RelayRanking(view);
        this.fetcher = new PeerFetcher(context, view, metrics, this::peerAnswered);
        this.confirmation = new ConfigurationConfirmation(context, this::configurationRead, this::storeDidNotAnswer);
        view.reportProofAge(confirmation::ageMs);
        this.lostConfigurationSearch = new LostConfigurationSearch(context, view);
        long nowNanos = context.nowNanos();
        startupWatch = new StartupWatch(context, view);
        for (FetchObject.Kind kind : FetchObject.Kind.values()) {
            if (kind != FetchObject.Kind.EVACUATIONS || context.options().evacuationsRead()) {
                syncs.put(kind, new KindSync(kind, nowNanos));
            }
        }
    }

    /** Whether the store has been listed, so that the view is usable. */
    public boolean isListed() {
        return syncs.values().stream().allMatch(KindSync::isListed);
    }

    /** Returns what is known about how recent the configuration is. */
    public ConfigurationProof configurationProof() {
        return confirmation;
    }

    public boolean isRelay() {
        return relay;
    }

    public boolean isWatching() {
        return relay || syncs.values().stream().anyMatch(KindSync::isFallback);
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
        if (participating) {
            startupWatch.participating(nowNanos);
        }
        boolean settled = startupWatch.isSettled(nowNanos);
        updateRoles(self, settled, suspects, nowNanos);
        for (KindSync sync : syncs.values()) {
            keepInformed(sync, watchWaitMs(sync, self, participating, settled, nowNanos), nowNanos);
        }
        lostConfigurationSearch.tick(nowNanos);
    }

    /**
     * Starts a call to the store if none is outstanding, or if the outstanding one no longer tells this daemon what it
     * needs to know.
     *
     * @param waitMs how long a watch waits for a change; empty if peers inform this daemon
     */
    private void keepInformed(KindSync sync, OptionalLong waitMs, long nowNanos) {
        boolean outdated =
                context.eras().era().isNewerThan(view.completeUpTo(sync.kind()).era());
        boolean mustList = !sync.isListed() || outdated;
        long outdatedForNanos = sync.outdatedForNanos(outdated, nowNanos);
        Optional<StoreCall> latest = sync.latestCall();
        if (latest.isPresent()) {
            StoreCall call = latest.get();
            boolean earlierEra = outdatedForNanos > ERA_ANSWER_NANOS && call.ageNanos(nowNanos) > outdatedForNanos;
            boolean waitsTooLong = !mustList && waitMs.isPresent() && waitMs.getAsLong() < call.waitMs();
            boolean lost = call.isOverdue(nowNanos) && call.remainingNanos(nowNanos) > LATE_ANSWER_NANOS;
            boolean suspect = call.isSuspect() && call.ageNanos(nowNanos) >= MIN_SUSPECT_AGE_NANOS;
            boolean needed = mustList || waitMs.isPresent();
            if (needed && (earlierEra || waitsTooLong || lost || suspect)) {
                callReplaced(sync, call, lost, nowNanos);
                sync.cancelCalls();
            } else if (needed && call.isOverdue(nowNanos) && sync.mayAddCall()) {
                callReplaced(sync, call, true, nowNanos);
            } else {
                return;
            }
        } else if (!sync.isRetryDue(nowNanos)) {
            return;
        }
        if (mustList) {
            list(sync);
        } else if (waitMs.isPresent()) {
            watch(sync, sync.isUnanswered() ? PROBE_WAIT_MS : waitMs.getAsLong());
        }
    }

    /** Notes that a call is not waited for any longer. If its answer was lost, those of other calls may be, too. */
    private void callReplaced(KindSync sync, StoreCall call, boolean overdue, long nowNanos) {
        context.log(() -> "event=store-call-replaced kind=" + sync.kind() + " listing=" + call.listing() + " waitMs="
                + call.waitMs() + " ageMs=" + call.ageNanos(nowNanos) / NANOS_PER_MS + " overdue=" + overdue
                + " suspect=" + call.isSuspect() + " relay=" + relay + " fallback=" + sync.isFallback());
        if (call.isSuspect()) {
            sync.setUnanswered();
        }
        if (overdue) {
            sync.setUnanswered();
            metrics.storeAnswerMissing();
            syncs.values().stream().filter(other -> other != sync).forEach(this::suspectCall);
        }
    }

    /**
     * Notes that the store did not answer a call of this daemon. Its connections may have been lost in silence, so the
     * outstanding watches are replaced.
     */
    public void storeDidNotAnswer() {
        syncs.values().forEach(this::suspectCall);
    }

    private void suspectCall(KindSync sync) {
        sync.latestCall().ifPresent(StoreCall::markSuspect);
    }

    /**
     * Notes that a member did not answer a heartbeat. If it is the relay of the region, nobody may inform this daemon, so
     * its own watch of the configuration must work.
     */
    public void peerDidNotAnswer(MemberId peer) {
        if (ranking.isRelayOfRegion(peer)) {
            suspectCall(syncs.get(FetchObject.Kind.CONFIGURATION));
        }
    }

    /** Returns how long a watch of a kind waits for a change; empty if peers inform this daemon. */
    private OptionalLong watchWaitMs(
            KindSync sync, Member self, boolean participating, boolean settled, long nowNanos) {
        ControlOptions options = context.options();
        FetchObject.Kind kind = sync.kind();
        if (relay || sync.isFallback()) {
            return OptionalLong.of(options.relayWatchWaitMs(kind));
        }
        boolean uninformed = participating
                ? settled && kind == FetchObject.Kind.MEMBERS && startupWatch.isNeeded(self, nowNanos)
                : startupWatch.isNeededUnjoined(nowNanos);
        if (uninformed) {
            return OptionalLong.of(options.relayWatchWaitMs(kind));
        }
        boolean ownWatch = kind == FetchObject.Kind.CONFIGURATION && options.configurationWatchWaitMs() > 0;
        return ownWatch ? OptionalLong.of(options.configurationWatchWaitMs()) : OptionalLong.empty();
    }

    /** Handles the digest of a peer: fetches the changes that the peer knows and this daemon does not. */
    public void digestReceived(MemberId peer, Digest digest) {
        context.eras().observe(digest.latestEra(), context.nowNanos());
        startupWatch.heardFrom(peer);
        fetcher.fetchIfAhead(peer, syncs.get(FetchObject.Kind.CONFIGURATION), digest.configuration());
        fetcher.fetchIfAhead(peer, syncs.get(FetchObject.Kind.MEMBERS), digest.members());
        fetcher.fetchIfAhead(peer, syncs.get(FetchObject.Kind.ASSIGNMENTS), digest.assignments());
        KindSync evacuations = syncs.get(FetchObject.Kind.EVACUATIONS);
        if (evacuations != null) {
            fetcher.fetchIfAhead(peer, evacuations, digest.evacuations());
        }
    }

    private void updateRoles(Member self, boolean settled, Set<MemberId> suspects, long nowNanos) {
        ranking.update(self, suspects);
        int rank = ranking.rank();
        boolean newRelay = settled && (rank == 0 || self.witnesses().isEmpty());
        if (newRelay != relay) {
            relay = newRelay;
            if (newRelay) {
                syncs.values().forEach(sync -> sync.retryAt(nowNanos));
            }
            context.log(() -> "event=relay member=" + self.id() + " active=" + newRelay + " rank=" + rank);
        }
        syncs.values().forEach(sync -> updateFallback(sync, self, settled, nowNanos));
    }

    private void updateFallback(KindSync sync, Member self, boolean settled, long nowNanos) {
        boolean newFallback = settled
                && !relay
                && (sync.isFallback()
                        ? fallbackPolicy.isStillNeeded(sync, nowNanos)
                        : fallbackPolicy.isDue(sync, ranking.rank(), nowNanos));
        if (newFallback != sync.isFallback()) {
            sync.setFallback(newFallback);
            context.log(() -> "event=fallback-watch member=" + self.id() + " kind=" + sync.kind() + " active="
                    + newFallback + " rank=" + ranking.rank());
        }
    }

    private void list(KindSync sync) {
        long timeoutMs = sync.kind() == FetchObject.Kind.CONFIGURATION
                ? context.options().storeTimeoutMs()
                : context.options().listTimeoutMs();
        StoreCall call = new StoreCall(true, context.nowNanos(), 0, Math.min(timeoutMs, LISTING_DUE_MS), timeoutMs);
        start(sync, call, timeoutMs, () -> context.dependencies().store().list(ClusterView.prefix(sync.kind())));
    }

    private void watch(KindSync sync, long waitMs) {
        long nowNanos = context.nowNanos();
        long timeoutMs = waitMs + context.options().storeTimeoutMs();
        StoreCall call = new StoreCall(false, nowNanos, waitMs, waitMs + ANSWER_DUE_MS, timeoutMs);
        Revision after =
                sync.watchAfter(view.completeUpTo(sync.kind()), view.latestObjectRevision(sync.kind()), nowNanos);
        start(
                sync,
                call,
                timeoutMs,
                () -> context.dependencies().store().watch(ClusterView.prefix(sync.kind()), after, waitMs));
    }

    private void start(
            KindSync sync, StoreCall call, long timeoutMs, Supplier<CompletableFuture<WatchBatch>> storeCall) {
        sync.add(call);
        call.setCancellation(context.startCall(storeCall, timeoutMs, (batch, failure) -> {
            sync.remove(call);
            if (failure == null) {
                sync.cancelCallsBefore(call);
                storeAnswered(sync, call, batch);
            } else {
                storeFailed(sync, call, failure);
            }
        }));
    }

    private void storeAnswered(KindSync sync, StoreCall call, WatchBatch batch) {
        long nowNanos = context.nowNanos();
        boolean wasUnanswered = sync.isUnanswered();
        sync.answered();
        sync.retryAt(wasUnanswered ? nowNanos : Math.max(nowNanos, call.startedNanos() + watchIntervalNanos()));
        boolean reset = call.listing() || batch.reset();
        if (reset) {
            sync.setListed();
            sync.listingRead(batch.upTo(), nowNanos);
        } else {
            sync.watchRead();
        }
        ObjectData data = new ObjectData(sync.kind(), batch.upTo(), reset, batch.changes());
        Revision before = view.completeUpTo(sync.kind());
        List<StoredObject> applied = apply(sync, data, reset ? UpdateSource.LISTING : UpdateSource.WATCH);
        if (sync.kind() == FetchObject.Kind.CONFIGURATION) {
            confirmation.proven(call.provenNanos(batch.changes().isEmpty(), nowNanos));
        }
        if (!reset) {
            changesMissed(sync, before, applied);
        }
        if (!view.completeUpTo(sync.kind()).isNewerThan(before) && (relay || sync.isFallback())) {
            storeUnchanged(sync, nowNanos);
        }
        lostConfigurationSearch.tick(nowNanos);
    }

    /**
     * Handles changes that the store withheld while it advanced the position. Other members do not ask for them, so the
     * relay sends them.
     */
    private void changesMissed(KindSync sync, Revision before, List<StoredObject> applied) {
        List<StoredObject> missed = applied.stream()
                .filter(object -> !object.revision().isNewerThan(before))
                .toList();
        if (missed.isEmpty()) {
            return;
        }
        metrics.changesMissed(missed.size());
        context.log(() -> "event=missed-changes kind=" + sync.kind() + " position=" + before + " objects="
                + missed.stream()
                        .map(object -> object.name() + "@" + object.revision())
                        .toList());
        if (relay || sync.isFallback()) {
            MemberPush.sendMissed(context, view, new ObjectData(sync.kind(), Revision.NONE, false, missed));
        }
    }

    private long watchIntervalNanos() {
        long intervalMs = relay
                ? context.options().relayWatchIntervalMs()
                : context.options().ownWatchIntervalMs();
        return intervalMs * NANOS_PER_MS;
    }

    /** Ends the fallback: the store has no newer changes, so the digest did not stop because of a failed relay. */
    private void storeUnchanged(KindSync sync, long nowNanos) {
        sync.confirmed(nowNanos);
        sync.setFallback(false);
    }

    private void storeFailed(KindSync sync, StoreCall call, CrankException failure) {
        long retryMs = context.jitteredMs(sync.retryMs());
        context.log(() -> "event=store-retry operation=" + (call.listing() ? "list" : "watch") + " kind=" + sync.kind()
                + " code=" + failure.code() + " retryMs=" + retryMs);
        sync.failed(maxRetryMs(sync, failure));
        if (!sync.hasCalls()) {
            sync.retryAt(context.nowNanos() + retryMs * NANOS_PER_MS);
        }
    }

    private long maxRetryMs(KindSync sync, CrankException failure) {
        if (relay && failure.code() != ResultCode.STORE_MALFORMED) {
            return MAX_RELAY_RETRY_MS;
        }
        return sync.isListed() && !relay ? MAX_FALLBACK_RETRY_MS : MAX_RETRY_MS;
    }

    private void peerAnswered(KindSync sync, ObjectData data) {
        long nowNanos = context.nowNanos();
        Revision before = view.completeUpTo(sync.kind());
        boolean changed = !apply(sync, data, UpdateSource.PEER).isEmpty();
        if (view.completeUpTo(sync.kind()).isNewerThan(before)) {
            sync.advancedByPeer(nowNanos);
            if (sync.kind() == FetchObject.Kind.CONFIGURATION) {
                confirmation.informedByPeer(nowNanos);
            }
        }
        if (changed) {
            sync.latestCall()
                    .filter(call -> !call.listing())
                    .ifPresent(call -> call.expectAnswerBy(nowNanos + KNOWN_CHANGE_ANSWER_NANOS));
        }
    }

    /** Applies objects to the view and returns those that were newer than the known ones. */
    private List<StoredObject> apply(KindSync sync, ObjectData data, UpdateSource source) {
        Revision before = view.completeUpTo(sync.kind());
        List<StoredObject> applied = view.apply(data, source);
        pushPending |= !applied.isEmpty();
        if (view.completeUpTo(sync.kind()).isNewerThan(before)) {
            sync.positionReached(view.completeUpTo(sync.kind()), context.nowNanos());
        }
        return applied;
    }

    private void configurationRead(StoreCall call, WatchBatch listing) {
        storeAnswered(syncs.get(FetchObject.Kind.CONFIGURATION), call, listing);
    }
}
