package org.coriandercrank.placement.internal;

import java.util.Optional;
import java.util.OptionalLong;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * Leader election for the planner role: decides when this daemon reads the planner object, takes over the role or
 * renews it.
 *
 * <p>Not thread safe; performs no I/O. The role only avoids duplicate work. Two daemons that both consider themselves
 * the holder do no harm, because every write of a planner is conditional. The daemons with the lowest ranks read the
 * object often. The interval of the others grows in proportion to their rank, so that the load on the store grows with
 * the logarithm of the number of daemons. If the daemons of the lowest ranks have failed without being sealed, the first
 * of the others still notices.
 */
public final class PlannerElection {
    /** The store operation to perform next. */
    public enum Step {
        NONE,
        READ,
        WRITE
    }

    /**
     * Options of the election; all times are in milliseconds. Immutable.
     *
     * @param renewIntervalMs interval at which the holder renews the role
     * @param roleTimeoutMs time without a renewal after which another daemon may take over the role
     * @param rankDelayMs additional time per rank that a daemon waits before it takes over the role
     * @param slowReadIntervalMs longest interval at which a daemon reads the planner object; that of a daemon whose rank
     *     is {@code fastReaders} or higher is {@code renewIntervalMs} times its rank, up to this limit
     * @param fastReaders number of daemons that read the planner object every {@code renewIntervalMs}
     */
    public record Options(
            long renewIntervalMs, long roleTimeoutMs, long rankDelayMs, long slowReadIntervalMs, int fastReaders) {
        public Options {
            if (renewIntervalMs < 1
                    || roleTimeoutMs <= renewIntervalMs
                    || rankDelayMs < 0
                    || slowReadIntervalMs < renewIntervalMs
                    || fastReaders < 1) {
                throw new IllegalArgumentException(
                        "renewIntervalMs and fastReaders must be positive, rankDelayMs must not be negative,"
                                + " roleTimeoutMs must exceed renewIntervalMs,"
                                + " and slowReadIntervalMs must be at least renewIntervalMs");
            }
        }
    }

    private final MemberId self;
    private final Options options;
    private OptionalLong eligibleSinceMs = OptionalLong.empty();
    private boolean callPending;
    private boolean holdsRole;
    private boolean recordKnown;
    private boolean readAttempted;
    private Optional<PlannerRecord> record = Optional.empty();
    private Revision revision = Revision.NONE;

    /** Time at which a read last returned a changed record; each renewal changes the counter of the record. */
    private long unchangedSinceMs;

    private long lastReadAtMs;
    private long writeStartedAtMs;
    private long renewedAtMs;

    public PlannerElection(MemberId self, Options options) {
        this.self = self;
        this.options = options;
    }

    /**
     * The store operation to perform now.
     *
     * @param nowMs monotonic time
     * @param eligible whether this daemon may hold the role
     * @param rank position of this daemon among the active members; 0 is the first to take over the role
     * @param holderLost whether the current holder is sealed or leaving
     */
    public Step nextStep(long nowMs, boolean eligible, int rank, boolean holderLost) {
        if (callPending || !eligible) {
            return Step.NONE;
        }
        if (holdsRole) {
            return nowMs - writeStartedAtMs >= options.renewIntervalMs ? Step.WRITE : Step.NONE;
        }
        if (recordKnown && mayTakeRole(nowMs, rank, holderLost)) {
            return Step.WRITE;
        }
        return isReadDue(nowMs, rank) ? Step.READ : Step.NONE;
    }

    /** Whether a read is due. The first read of a daemon that does not read often waits for its interval too. */
    private boolean isReadDue(long nowMs, int rank) {
        if (eligibleSinceMs.isEmpty()) {
            eligibleSinceMs = OptionalLong.of(nowMs);
        }
        if (rank < options.fastReaders) {
            return !readAttempted || nowMs - lastReadAtMs >= options.renewIntervalMs;
        }
        long intervalMs = Math.min(options.slowReadIntervalMs, rank * options.renewIntervalMs);
        return nowMs - (readAttempted ? lastReadAtMs : eligibleSinceMs.getAsLong()) >= intervalMs;
    }

    /**
     * Whether this daemon may take over the role. The last read must not be older than {@code renewIntervalMs}, so that
     * a renewal since then is rarely missed.
     */
    private boolean mayTakeRole(long nowMs, int rank, boolean holderLost) {
        if (nowMs - lastReadAtMs > options.renewIntervalMs) {
            return false;
        }
        int cappedRank = Math.min(rank, options.fastReaders);
        return record.isEmpty()
                || holderLost
                || nowMs - unchangedSinceMs >= options.roleTimeoutMs + cappedRank * options.rankDelayMs;
    }

    /** The holder of the role according to the last read or write. */
    public Optional<MemberId> holder() {
        return record.map(PlannerRecord::holder);
    }

    public void readStarted() {
        callPending = true;
    }

    /** Reports the planner object that was read; empty if it does not exist. */
    public void readCompleted(Optional<PlannerRecord> storedRecord, Revision storedRevision, long nowMs) {
        callPending = false;
        readAttempted = true;
        lastReadAtMs = nowMs;
        if (!recordKnown || !storedRecord.equals(record)) {
            unchangedSinceMs = nowMs;
        }
        recordKnown = true;
        record = storedRecord;
        revision = storedRevision;
        holdsRole = storedRecord.isPresent() && storedRecord.get().holder().equals(self);
        if (holdsRole) {
            renewedAtMs = Math.max(renewedAtMs, writeStartedAtMs);
        }
    }

    /**
     * Reports a failed read. The next read waits for the usual interval, so that a store outage does not cause more
     * reads.
     */
    public void readFailed(long nowMs) {
        callPending = false;
        readAttempted = true;
        lastReadAtMs = nowMs;
        holdsRole = false;
        recordKnown = false;
    }

    /**
     * Starts a write that takes over or renews the role.
     *
     * @return the record, which the caller writes on condition that the stored object still has {@link #revision()}
     */
    public PlannerRecord writeStarted(long nowMs) {
        callPending = true;
        writeStartedAtMs = nowMs;
        return new PlannerRecord(self, record.map(PlannerRecord::counter).orElse(0L) + 1);
    }

    /** Revision of the planner object according to the last read or write. */
    public Revision revision() {
        return revision;
    }

    /** Reports that a record was written, and the new revision of the planner object. */
    public void writeCompleted(PlannerRecord written, Revision newRevision) {
        callPending = false;
        holdsRole = true;
        record = Optional.of(written);
        revision = newRevision;
        renewedAtMs = writeStartedAtMs;
    }

    /**
     * Whether this daemon holds the role. It does not once {@code roleTimeoutMs} have passed since the last renewal,
     * because another daemon may have taken over the role.
     */
    public boolean isHolder(long nowMs) {
        return holdsRole && nowMs - renewedAtMs < options.roleTimeoutMs;
    }
}
