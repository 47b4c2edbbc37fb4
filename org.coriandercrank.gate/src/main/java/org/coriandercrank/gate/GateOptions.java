package org.coriandercrank.gate;

import java.util.function.Consumer;

/**
 * Settings of a gate. Immutable; limits are checked on construction.
 *
 * @param ringCapacity tasks that may wait for the thread of the gate
 * @param tickMs period in which deadlines, grants and releases are examined while anything waits for them
 * @param idleTickMs the same period while nothing waits
 * @param grantValidityMs longest validity of a grant; what is left of the lease is a further bound
 * @param grantTimeoutMs time after which an unanswered grant counts as failed
 * @param grantRetryMs pause after a failed grant
 * @param grantDelayMs time for which changes of the granted ranges are collected before a grant is sent
 * @param rampMs time in which the concurrency grows from a quarter of the slots to all of them after an attach
 * @param overloadRecoveryMs time in which the concurrency returns to all slots after the server reported overload
 * @param recordRetentionMs time for which outcome records are kept
 * @param maxRecords most outcome records kept
 * @param maxRecordBytes most bytes of outcome records kept
 * @param maxTransferBytes most bytes of outcome records handed over with a released range
 * @param barRetentionMs time for which a barred request id is refused, beyond the longest deadline of the service
 * @param maxBars most barred ids; when reached, an outcome query gets UNKNOWN in place of BARRED
 * @param ageMarginMs bound on the time a request travels from the caller to the gate, added to the stated age of its
 *     idempotency key
 * @param lostCallGraceMs time after its deadline at which a call has ended on a server that honours deadlines
 * @param lostCallLifetimeMs time after its deadline at which a call with a lost answer is taken as ended on a server
 *     that does not honour deadlines
 * @param maxParked most requests that wait for a range that is assigned to this gate and not served yet; 0 refuses them
 * @param parkMs longest time that such a request waits
 * @param releaseWithoutProof whether a release may complete although the server neither answered the revoke nor
 *     honours validity
 */
public record GateOptions(
        int ringCapacity,
        int tickMs,
        int idleTickMs,
        int grantValidityMs,
        int grantTimeoutMs,
        int grantRetryMs,
        int grantDelayMs,
        int rampMs,
        int overloadRecoveryMs,
        int recordRetentionMs,
        int maxRecords,
        long maxRecordBytes,
        long maxTransferBytes,
        int barRetentionMs,
        int maxBars,
        int ageMarginMs,
        int lostCallGraceMs,
        int lostCallLifetimeMs,
        int maxParked,
        int parkMs,
        boolean releaseWithoutProof) {
    public static final GateOptions DEFAULTS = new GateOptions(
            8_192,
            5,
            25,
            1_000,
            300,
            50,
            0,
            5_000,
            1_000,
            600_000,
            50_000,
            16_777_216,
            4_194_304,
            60_000,
            50_000,
            250,
            250,
            60_000,
            0,
            0,
            false);

    public GateOptions {
        checkPositive("ringCapacity", ringCapacity);
        checkPositive("tickMs", tickMs);
        checkPositive("idleTickMs", idleTickMs);
        checkPositive("grantValidityMs", grantValidityMs);
        checkPositive("grantTimeoutMs", grantTimeoutMs);
        checkPositive("grantRetryMs", grantRetryMs);
        checkNotNegative("grantDelayMs", grantDelayMs);
        checkNotNegative("rampMs", rampMs);
        checkPositive("overloadRecoveryMs", overloadRecoveryMs);
        checkPositive("recordRetentionMs", recordRetentionMs);
        checkPositive("maxRecords", maxRecords);
        checkPositive("maxRecordBytes", maxRecordBytes);
        checkNotNegative("maxTransferBytes", maxTransferBytes);
        checkPositive("barRetentionMs", barRetentionMs);
        checkPositive("maxBars", maxBars);
        checkNotNegative("ageMarginMs", ageMarginMs);
        checkNotNegative("lostCallGraceMs", lostCallGraceMs);
        checkNotNegative("lostCallLifetimeMs", lostCallLifetimeMs);
        checkNotNegative("maxParked", maxParked);
        checkNotNegative("parkMs", parkMs);
    }

    /** These options with other periods of ticks. */
    public GateOptions withTicks(int newTickMs, int newIdleTickMs) {
        return with(draft -> {
            draft.tickMs = newTickMs;
            draft.idleTickMs = newIdleTickMs;
        });
    }

    /** These options with other times of grants. */
    public GateOptions withGrants(int newValidityMs, int newTimeoutMs, int newRetryMs, int newDelayMs) {
        return with(draft -> {
            draft.grantValidityMs = newValidityMs;
            draft.grantTimeoutMs = newTimeoutMs;
            draft.grantRetryMs = newRetryMs;
            draft.grantDelayMs = newDelayMs;
        });
    }

    /** These options with other bounds of parked requests. */
    public GateOptions withParking(int newMaxParked, int newParkMs) {
        return with(draft -> {
            draft.maxParked = newMaxParked;
            draft.parkMs = newParkMs;
        });
    }

    public GateOptions withRampMs(int newRampMs) {
        return with(draft -> draft.rampMs = newRampMs);
    }

    public GateOptions withRecordLimits(int newRetentionMs, int newMaxRecords, long newMaxRecordBytes) {
        return with(draft -> {
            draft.recordRetentionMs = newRetentionMs;
            draft.maxRecords = newMaxRecords;
            draft.maxRecordBytes = newMaxRecordBytes;
        });
    }

    public GateOptions withReleaseWithoutProof(boolean newReleaseWithoutProof) {
        return with(draft -> draft.releaseWithoutProof = newReleaseWithoutProof);
    }

    /** Values of options that are being changed. Not thread safe. */
    private static final class Draft {
        private int ringCapacity;
        private int tickMs;
        private int idleTickMs;
        private int grantValidityMs;
        private int grantTimeoutMs;
        private int grantRetryMs;
        private int grantDelayMs;
        private int rampMs;
        private int overloadRecoveryMs;
        private int recordRetentionMs;
        private int maxRecords;
        private long maxRecordBytes;
        private long maxTransferBytes;
        private int barRetentionMs;
        private int maxBars;
        private int ageMarginMs;
        private int lostCallGraceMs;
        private int lostCallLifetimeMs;
        private int maxParked;
        private int parkMs;
        private boolean releaseWithoutProof;

        Draft(GateOptions from) {
            ringCapacity = from.ringCapacity;
            tickMs = from.tickMs;
            idleTickMs = from.idleTickMs;
            grantValidityMs = from.grantValidityMs;
            grantTimeoutMs = from.grantTimeoutMs;
            grantRetryMs = from.grantRetryMs;
            grantDelayMs = from.grantDelayMs;
            rampMs = from.rampMs;
            overloadRecoveryMs = from.overloadRecoveryMs;
            recordRetentionMs = from.recordRetentionMs;
            maxRecords = from.maxRecords;
            maxRecordBytes = from.maxRecordBytes;
            maxTransferBytes = from.maxTransferBytes;
            barRetentionMs = from.barRetentionMs;
            maxBars = from.maxBars;
            ageMarginMs = from.ageMarginMs;
            lostCallGraceMs = from.lostCallGraceMs;
            lostCallLifetimeMs = from.lostCallLifetimeMs;
            maxParked = from.maxParked;
            parkMs = from.parkMs;
            releaseWithoutProof = from.releaseWithoutProof;
        }

        GateOptions build() {
            return new GateOptions(
                    ringCapacity,
                    tickMs,
                    idleTickMs,
                    grantValidityMs,
                    grantTimeoutMs,
                    grantRetryMs,
                    grantDelayMs,
                    rampMs,
                    overloadRecoveryMs,
                    recordRetentionMs,
                    maxRecords,
                    maxRecordBytes,
                    maxTransferBytes,
                    barRetentionMs,
                    maxBars,
                    ageMarginMs,
                    lostCallGraceMs,
                    lostCallLifetimeMs,
                    maxParked,
                    parkMs,
                    releaseWithoutProof);
        }
    }

    private GateOptions with(Consumer<Draft> change) {
        Draft draft = new Draft(this);
        change.accept(draft);
        return draft.build();
    }

    private static void checkPositive(String field, long value) {
        if (value < 1) {
            throw new IllegalArgumentException(field + " must be at least 1, got " + value);
        }
    }

    private static void checkNotNegative(String field, long value) {
        if (value < 0) {
            throw new IllegalArgumentException(field + " must not be negative, got " + value);
        }
    }
}
