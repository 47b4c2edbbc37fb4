package org.coriandercrank.control.internal;

import com.google.common.collect.Sets;
import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coriandercrank.kernel.id.CrashId;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.ownership.RequestQuarantine;
import org.coriandercrank.kernel.table.CrashReports;
import org.coriandercrank.kernel.table.CrashReports.Crash;
import org.coriandercrank.kernel.table.CrashReports.Retraction;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.time.MonotonicClock;

/**
 * Collects the crashes of backend servers, from this daemon and from the records of all members, and derives which
 * requests crash servers (docs/design/quarantine.md). Crashes count for a request of a caller, and for requests with the
 * same content of any caller.
 *
 * <p>Invariants: a crash counts once for a request, whatever the number of records that report it; a crash that was
 * retracted for a request never counts again for it, in whatever order report and retraction become known; memory and the
 * reports of this host are bounded. Thread safe.
 */
public final class QuarantineLedger implements RequestQuarantine {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Number of crashes without an answer between them that the platform's rule takes for proof. */
    private static final int QUARANTINE_CRASHES = 3;

    /** From here on a request runs alone among its kind, so that the next crash has one cause. */
    private static final int SUSPECT_CRASHES = 2;

    /** Time after its latest crash in which a request is quarantined; after that it is a suspect. */
    static final long QUARANTINE_MS = 600_000;

    /** Time after which crashes and retractions are forgotten; it contains a probation as long as the quarantine. */
    static final long RETENTION_MS = 2 * QUARANTINE_MS;

    /** Bounds the memory; requests with the fewest crashes are forgotten first. */
    private static final int MAX_REQUESTS = 2_048;

    /** More crashes than count for a decision, so that those of servers that crash together do not displace others. */
    private static final int MAX_CRASHES_PER_REQUEST = 16;

    /** Together these bound a member record to a few kilobytes. */
    private static final int MAX_OWN_CRASHES = 4;

    private static final int MAX_CANDIDATES_PER_CRASH = 64;
    private static final int MAX_OWN_RETRACTIONS = 16;
    private static final long NANOS_PER_MS = 1_000_000;

    /** The crashes that a request may have caused, and those that were retracted for it. */
    private static final class CrashHistory {
        private final Set<CrashId> crashes = new LinkedHashSet<>();
        private final Set<CrashId> retractedCrashes = new LinkedHashSet<>();

        /** Crashes that this daemon retracted while they were too few to have an effect, so that others do not know it. */
        private final Set<CrashId> unreportedRetractions = new LinkedHashSet<>();

        /** Callers whose requests ran at the crashes. */
        private final Set<Long> callers = new HashSet<>();

        private Status loggedStatus = Status.CLEAR;

        /** When the latest crash became known; the time of the quarantine counts from it. */
        private long latestCrashNanos;

        /** When the latest crash or retraction became known. */
        private long changedAtNanos;
    }

    private final MonotonicClock clock;
    private final HostAddress ownAddress;
    private final Runnable ownReportsListener;
    private final Map<RequestFingerprint, CrashHistory> histories = new LinkedHashMap<>();
    private final OwnReports<Crash> ownCrashes = new OwnReports<>(MAX_OWN_CRASHES, Crash::id);
    private final OwnReports<Retraction> ownRetractions =
            new OwnReports<>(MAX_OWN_RETRACTIONS, retraction -> retraction);
    private final Map<MemberId, Integer> crashCounts = new HashMap<>();

    /** Whether nothing is known, so that most calls need no lock. */
    private volatile boolean empty = true;

    /**
     * Creates an empty ledger.
     *
     * @param ownAddress address for connections between daemons, which identifies the earlier records of this host
     * @param ownReportsListener called when {@link #ownReports} have changed; must not block
     */
    public QuarantineLedger(MonotonicClock clock, HostAddress ownAddress, Runnable ownReportsListener) {
        this.clock = clock;
        this.ownAddress = ownAddress;
        this.ownReportsListener = ownReportsListener;
    }

    @Override
    public Status status(RequestFingerprint request) {
        return empty ? Status.CLEAR : lockedStatus(request);
    }

    private synchronized Status lockedStatus(RequestFingerprint request) {
        Status ofCaller = statusOfFingerprint(request);
        Status ofAnyCaller = statusOfFingerprint(request.ofAnyCaller());
        return ofCaller.compareTo(ofAnyCaller) >= 0 ? ofCaller : ofAnyCaller;
    }

    private Status statusOfFingerprint(RequestFingerprint request) {
        CrashHistory history = histories.get(request);
        if (history == null || !hasEffect(request, history)) {
            return Status.CLEAR;
        }
        long ageMs = ageMs(history.latestCrashNanos);
        if (history.crashes.size() >= QUARANTINE_CRASHES && ageMs < QUARANTINE_MS) {
            return mayHaveAnotherCause(request, history) ? Status.CONFINED : Status.QUARANTINED;
        }
        return ageMs < RETENTION_MS ? Status.SUSPECT : Status.CLEAR;
    }

    /** Whether the crashes have an effect. Those of one caller say nothing about the requests of others. */
    private static boolean hasEffect(RequestFingerprint request, CrashHistory history) {
        boolean appliesToRequest = history.callers.contains(request.caller()) || history.callers.size() > 1;
        return history.crashes.size() >= SUSPECT_CRASHES && appliesToRequest;
    }

    /** Whether there is another request that may be the cause of these crashes, or of all but one of them. */
    private boolean mayHaveAnotherCause(RequestFingerprint request, CrashHistory history) {
        return histories.entrySet().stream()
                .filter(entry -> !entry.getKey().ofAnyCaller().equals(request.ofAnyCaller()))
                .filter(entry -> hasEffect(entry.getKey(), entry.getValue()))
                .map(Map.Entry::getValue)
                .filter(other -> ageMs(other.latestCrashNanos) < QUARANTINE_MS)
                .anyMatch(other -> isAtLeastAsLikelyTheCause(other.crashes, history.crashes));
    }

    /**
     * Whether another request ran at the crashes of a request, or at all but one of them, and at no fewer crashes in all.
     * Of two requests with equally many crashes, those that are not shared count from the fourth crash on, because two
     * causes would otherwise release each other with each crash.
     */
    private static boolean isAtLeastAsLikelyTheCause(Set<CrashId> ofOther, Set<CrashId> ofRequest) {
        int notShared = Sets.difference(ofRequest, ofOther).size();
        if (ofOther.size() == ofRequest.size() && ofRequest.size() > QUARANTINE_CRASHES) {
            return notShared == 0;
        }
        return ofOther.size() >= ofRequest.size() && notShared <= 1;
    }

    @Override
    public synchronized long remainingMs(RequestFingerprint request) {
        return Stream.of(request, request.ofAnyCaller())
                .filter(each -> statusOfFingerprint(each) == Status.QUARANTINED)
                .mapToLong(each -> QUARANTINE_MS - ageMs(histories.get(each).latestCrashNanos))
                .max()
                .orElse(0);
    }

    private long ageMs(long sinceNanos) {
        return (clock.nowNanos() - sinceNanos) / NANOS_PER_MS;
    }

    @Override
    public void recordCrash(MemberId member, List<RequestFingerprint> candidates) {
        if (candidates.isEmpty()) {
            return;
        }
        synchronized (this) {
            CrashId id = CrashId.of(member, crashCounts.merge(member, 1, Integer::sum));
            List<RequestFingerprint> reported = candidates.stream()
                    .distinct()
                    .limit(MAX_CANDIDATES_PER_CRASH)
                    .toList();
            Crash crash = new Crash(id, reported);
            ownCrashes.add(crash, clock.nowNanos());
            addCrash(crash);
            logNewStatuses();
        }
        ownReportsListener.run();
    }

    @Override
    public void recordAnswer(RequestFingerprint request) {
        if (!empty && retractAnswered(request)) {
            ownReportsListener.run();
        }
    }

    /** Retracts the crashes of a request that was answered; returns whether other daemons must learn it. */
    private synchronized boolean retractAnswered(RequestFingerprint request) {
        boolean ofCaller = retractAll(request);
        boolean ofAnyCaller = request.caller() != 0 && retractAll(request.ofAnyCaller());
        logNewStatuses();
        return ofCaller || ofAnyCaller;
    }

    private boolean retractAll(RequestFingerprint request) {
        CrashHistory history = histories.get(request);
        if (history == null || history.crashes.isEmpty()) {
            return false;
        }
        Retraction retraction = new Retraction(request, List.copyOf(history.crashes));
        boolean hadEffect = hasEffect(request, history);
        retract(retraction);
        if (hadEffect) {
            ownRetractions.add(retraction, clock.nowNanos());
        } else {
            history.unreportedRetractions.addAll(retraction.crashes());
            removeOldestAboveLimit(history.unreportedRetractions);
        }
        return hadEffect;
    }

    /** Adopts the reports in the record of a member; those of an earlier process of this host are reported again. */
    public void adopt(Member member) {
        Optional<CrashReports> crashReports = member.crashReports();
        if (crashReports.isPresent()
                && adopt(crashReports.get(), member.peerAddress().equals(ownAddress))) {
            ownReportsListener.run();
        }
    }

    private synchronized boolean adopt(CrashReports crashReports, boolean ofThisHost) {
        boolean ownChanged = false;
        for (Crash crash : crashReports.crashes()) {
            ownChanged |= ofThisHost && ownCrashes.addEarlier(crash, clock.nowNanos());
            ownChanged |= addCrash(crash);
        }
        for (Retraction retraction : crashReports.retractions()) {
            ownChanged |= ofThisHost && ownRetractions.addEarlier(retraction, clock.nowNanos());
            retract(retraction);
            if (retraction.request().caller() != 0) {
                retract(new Retraction(retraction.request().ofAnyCaller(), retraction.crashes()));
            }
        }
        logNewStatuses();
        return ownChanged;
    }

    /** Counts a crash; returns whether the reports of this host have changed. */
    private boolean addCrash(Crash crash) {
        boolean ownChanged = false;
        for (RequestFingerprint request : crash.candidates()) {
            addCrash(request, crash.id(), callersOf(request, crash.candidates()));
            ownChanged |= reportRetractionsThatMatter(request);
        }
        return ownChanged;
    }

    /** Reports earlier retractions of this daemon if others count a further crash of the request without them. */
    private boolean reportRetractionsThatMatter(RequestFingerprint request) {
        CrashHistory history = histories.get(request);
        if (history == null || history.crashes.isEmpty() || history.unreportedRetractions.isEmpty()) {
            return false;
        }
        Retraction retraction = new Retraction(request, List.copyOf(history.unreportedRetractions));
        ownRetractions.add(retraction, clock.nowNanos());
        history.unreportedRetractions.clear();
        return true;
    }

    /** Returns the callers that a candidate stands for; one of any caller stands for those with the same content. */
    private static Set<Long> callersOf(RequestFingerprint candidate, List<RequestFingerprint> candidates) {
        Set<Long> callers = candidates.stream()
                .filter(other -> !other.equals(candidate) && other.ofAnyCaller().equals(candidate))
                .map(RequestFingerprint::caller)
                .collect(Collectors.toSet());
        return callers.isEmpty() ? Set.of(candidate.caller()) : callers;
    }

    private void addCrash(RequestFingerprint request, CrashId crash, Set<Long> callers) {
        CrashHistory history = histories.computeIfAbsent(request, key -> new CrashHistory());
        empty = false;
        if (history.retractedCrashes.contains(crash)) {
            return;
        }
        history.callers.addAll(callers);
        if (!history.crashes.add(crash)) {
            return;
        }
        removeOldestAboveLimit(history.crashes);
        history.latestCrashNanos = clock.nowNanos();
        history.changedAtNanos = history.latestCrashNanos;
        removeRequestWithFewestCrashes();
    }

    private void retract(Retraction retraction) {
        CrashHistory history = histories.computeIfAbsent(retraction.request(), key -> new CrashHistory());
        empty = false;
        if (history.retractedCrashes.addAll(retraction.crashes())) {
            history.changedAtNanos = clock.nowNanos();
            history.crashes.removeAll(retraction.crashes());
            if (history.crashes.isEmpty()) {
                history.callers.clear();
            }
            removeOldestAboveLimit(history.retractedCrashes);
            logger.atInfo().log(
                    "event=request-cleared fingerprint=%s crashes=%s", retraction.request(), retraction.crashes());
        }
        removeRequestWithFewestCrashes();
    }

    /** Logs each request that is confined or quarantined from now on, which a change of another request may cause. */
    private void logNewStatuses() {
        histories.forEach((request, history) -> {
            if (history.crashes.size() < QUARANTINE_CRASHES) {
                history.loggedStatus = Status.CLEAR;
                return;
            }
            Status status = statusOfFingerprint(request);
            if (status != history.loggedStatus && status == Status.QUARANTINED) {
                logger.atWarning().log("event=request-quarantined fingerprint=%s crashes=%s", request, history.crashes);
            } else if (status != history.loggedStatus && status == Status.CONFINED) {
                logger.atWarning().log("event=request-confined fingerprint=%s crashes=%s", request, history.crashes);
            }
            history.loggedStatus = status;
        });
    }

    private static void removeOldestAboveLimit(Set<CrashId> crashes) {
        while (crashes.size() > MAX_CRASHES_PER_REQUEST) {
            crashes.remove(crashes.iterator().next());
        }
    }

    private void removeRequestWithFewestCrashes() {
        if (histories.size() > MAX_REQUESTS) {
            histories.entrySet().stream()
                    .min(Comparator.comparingInt((Map.Entry<RequestFingerprint, CrashHistory> entry) ->
                                    entry.getValue().crashes.size())
                            .thenComparing(entry -> entry.getValue().changedAtNanos))
                    .map(Map.Entry::getKey)
                    .ifPresent(histories::remove);
        }
    }

    /** Forgets what has reached the retention time. */
    public void expire() {
        if (!empty && removeExpired()) {
            ownReportsListener.run();
        }
    }

    private synchronized boolean removeExpired() {
        histories.values().removeIf(history -> ageMs(history.changedAtNanos) >= RETENTION_MS);
        long nowNanos = clock.nowNanos();
        boolean crashesExpired = ownCrashes.removeAged(RETENTION_MS * NANOS_PER_MS, nowNanos);
        boolean retractionsExpired = ownRetractions.removeAged(RETENTION_MS * NANOS_PER_MS, nowNanos);
        empty = histories.isEmpty() && ownCrashes.isEmpty() && ownRetractions.isEmpty();
        if (empty) {
            crashCounts.clear();
        }
        return crashesExpired || retractionsExpired;
    }

    /** Returns the reports that the record of this daemon must have; empty if there are none. */
    public synchronized Optional<CrashReports> ownReports() {
        if (ownCrashes.isEmpty() && ownRetractions.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new CrashReports(ownCrashes.all(), ownRetractions.all()));
    }

    /** Number of requests that are quarantined now. */
    public synchronized int quarantinedRequests() {
        return (int) histories.keySet().stream()
                .filter(request -> statusOfFingerprint(request) == Status.QUARANTINED)
                .count();
    }
}
