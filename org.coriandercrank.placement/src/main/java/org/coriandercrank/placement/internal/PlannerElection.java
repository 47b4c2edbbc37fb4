package org.coriandercrank.placement.internal;

import java.util.Optional;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * Decides when this daemon reads, takes or renews the planner object.
 *
 * <p>Not thread safe, without I/O. The role only saves work: two daemons that both believe they hold it do no harm,
 * because every write of a planner is conditional. Daemons of low rank read the object often; the others read it
 * seldom, so that the reads at the store do not grow with the fleet.
 */
public final class PlannerElection {
    /** What to do now. */
    public enum Step {
        NONE,
        READ,
        WRITE
    }

    /**
     * Delays in milliseconds. Immutable.
     *
     * @param renewIntervalMs period of renewal
     * @param roleTimeoutMs time without renewal after which the role may be taken
     * @param rankDelayMs additional time per rank
     * @param slowReadIntervalMs period of reads by daemons whose rank is not below {@code readers}
     * @param fastReaders number of daemons that read at the period of renewal
     */
    public record Options(
            long renewIntervalMs, long roleTimeoutMs, long rankDelayMs, long slowReadIntervalMs, int fastReaders) {
        public Options {
            if (renewIntervalMs < 1
                    || roleTimeoutMs <= renewIntervalMs
                    || rankDelayMs < 0
                    || slowReadIntervalMs < renewIntervalMs
                    || fastReaders < 1) {
                throw new IllegalArgumentException("takeAfterMs must exceed renewMs, and both must be positive");
            }
        }
    }

    private final MemberId self;
    private final Options options;
    private boolean callPending;
    private boolean holdsRole;
    private boolean recordKnown;
    private boolean readAttempted;
    private Optional<PlannerRecord> record = Optional.empty();
    private Revision revision = Revision.NONE;
    private long unchangedSinceMs;
    private long lastReadAtMs;
    private long writeStartedAtMs;
    private long renewedAtMs;

    public PlannerElection(MemberId self, Options options) {
        this.self = self;
        this.options = options;
    }

    /**
     * @param eligible whether this daemon may hold the role
     * @param rank position of this daemon among the candidates, 0 first
     * @param holderLost whether the holder is known to be sealed or leaving
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
        long readPeriodMs = rank < options.fastReaders ? options.renewIntervalMs : options.slowReadIntervalMs;
        return readAttempted && nowMs - lastReadAtMs < readPeriodMs ? Step.NONE : Step.READ;
    }

    /** The read must be as fresh as a reader's, so that a change since then is rarely missed. */
    private boolean mayTakeRole(long nowMs, int rank, boolean holderLost) {
        if (nowMs - lastReadAtMs > options.renewIntervalMs) {
            return false;
        }
        int cappedRank = Math.min(rank, options.fastReaders);
        return record.isEmpty()
                || holderLost
                || nowMs - unchangedSinceMs >= options.roleTimeoutMs + cappedRank * options.rankDelayMs;
    }

    public Optional<MemberId> holder() {
        return record.map(PlannerRecord::holder);
    }

    public void readStarted() {
        callPending = true;
    }

    public void readDone(Optional<PlannerRecord> storedRecord, Revision storedRevision, long nowMs) {
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

    /** The next read keeps its period, so that an outage of the store does not multiply the reads. */
    public void callFailed(long nowMs) {
        callPending = false;
        readAttempted = true;
        lastReadAtMs = nowMs;
        holdsRole = false;
        recordKnown = false;
    }

    /** Starts a write; the caller writes the record if the object still has {@link #revision()}. */
    public PlannerRecord writeStarted(long nowMs) {
        callPending = true;
        writeStartedAtMs = nowMs;
        return new PlannerRecord(self, record.map(PlannerRecord::counter).orElse(0L) + 1);
    }

    public Revision revision() {
        return revision;
    }

    public void writeDone(PlannerRecord written, Revision newRevision) {
        callPending = false;
        holdsRole = true;
        record = Optional.of(written);
        revision = newRevision;
        renewedAtMs = writeStartedAtMs;
    }

    /** Whether this daemon holds the role; false once the last renewal is so old that another may have taken it. */
    public boolean isHolder(long nowMs) {
        return holdsRole && nowMs - renewedAtMs < options.roleTimeoutMs;
    }
}
