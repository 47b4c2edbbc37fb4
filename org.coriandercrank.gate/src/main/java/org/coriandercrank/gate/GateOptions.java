package org.coriandercrank.gate;

import java.util.function.Consumer;

/**
 * Settings of a gate. Immutable; limits are checked on construction.
 *
 * @param taskQueueCapacity tasks that may wait for the thread of the gate
 * @param busyTickMs period in which deadlines, grants and releases are examined while anything waits for them
 * @param idleTickMs the same period while nothing waits
 * @param grantValidityMs longest validity of a grant; what is left of the lease is a further bound
 * @param grantTimeoutMs time after which an unanswered grant counts as failed
 * @param grantRetryMs pause after a failed grant
 * @param grantDelayMs time for which changes of the granted ranges are collected before a grant is sent
 * @param slowStartMs time in which the concurrency grows from a quarter of the slots to all of them after an attach
 * @param overloadRecoveryMs time in which the concurrency returns to all slots after the server reported overload
 * @param recordRetentionMs time for which outcome records are kept
 * @param maxRecords most outcome records kept
 * @param maxRecordBytes most bytes of outcome records kept
 * @param maxTransferBytes most bytes of outcome records handed over with a released range
 * @param barredIdRetentionMs time for which a barred request id is refused, beyond the longest deadline of the service
 * @param maxBarredIds most barred ids; when reached, an outcome query gets UNKNOWN in place of BARRED
 * @param keyAgeMarginMs bound on the time a request travels from the caller to the gate, added to the stated age of its
 *     idempotency key
 * @param deadlineGraceMs time after its deadline at which a call has ended on a server that honours deadlines
 * @param lostCallLifetimeMs time after its deadline at which a call with a lost answer is taken as ended on a server
 *     that does not honour deadlines
 * @param maxParkedRequests most requests that wait for a range that is assigned to this gate and not served yet; 0 refuses them
 * @param parkTimeoutMs longest time that such a request waits
 * @param allowUnconfirmedRelease whether a release may complete although the server neither answered the revoke nor
 *     honours validity
 */
public record GateOptions(
        int taskQueueCapacity,
        int busyTickMs,
        int idleTickMs,
        int grantValidityMs,
        int grantTimeoutMs,
        int grantRetryMs,
        int grantDelayMs,
        int slowStartMs,
        int overloadRecoveryMs,
        int recordRetentionMs,
        int maxRecords,
        long maxRecordBytes,
        long maxTransferBytes,
        int barredIdRetentionMs,
        int maxBarredIds,
        int keyAgeMarginMs,
        int deadlineGraceMs,
        int lostCallLifetimeMs,
        int maxParkedRequests,
        int parkTimeoutMs,
        boolean allowUnconfirmedRelease) {
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
        checkPositive("ringCapacity", taskQueueCapacity);
        checkPositive("tickMs", busyTickMs);
        checkPositive("idleTickMs", idleTickMs);
        checkPositive("grantValidityMs", grantValidityMs);
        checkPositive("grantTimeoutMs", grantTimeoutMs);
        checkPositive("grantRetryMs", grantRetryMs);
        checkNotNegative("grantDelayMs", grantDelayMs);
        checkNotNegative("rampMs", slowStartMs);
        checkPositive("overloadRecoveryMs", overloadRecoveryMs);
        checkPositive("recordRetentionMs", recordRetentionMs);
        checkPositive("maxRecords", maxRecords);
        checkPositive("maxRecordBytes", maxRecordBytes);
        checkNotNegative("maxTransferBytes", maxTransferBytes);
        checkPositive("barRetentionMs", barredIdRetentionMs);
        checkPositive("maxBars", maxBarredIds);
        checkNotNegative("ageMarginMs", keyAgeMarginMs);
        checkNotNegative("lostCallGraceMs", deadlineGraceMs);
        checkNotNegative("lostCallLifetimeMs", lostCallLifetimeMs);
        checkNotNegative("maxParked", maxParkedRequests);
        checkNotNegative("parkMs", parkTimeoutMs);
    }

    /** These options with other periods of ticks. */
    public GateOptions withTickIntervals(int newBusyTickMs, int newIdleTickMs) {
        return with(draft -> {
            draft.busyTickMs = newBusyTickMs;
            draft.idleTickMs = newIdleTickMs;
        });
    }

    /** These options with other times of grants. */
    public GateOptions withGrantTimings(int newValidityMs, int newTimeoutMs, int newRetryMs, int newDelayMs) {
        return with(draft -> {
            draft.grantValidityMs = newValidityMs;
            draft.grantTimeoutMs = newTimeoutMs;
            draft.grantRetryMs = newRetryMs;
            draft.grantDelayMs = newDelayMs;
        });
    }

    /** These options with other bounds of parked requests. */
    public GateOptions withParkingLimits(int newMaxParkedRequests, int newParkTimeoutMs) {
        return with(draft -> {
            draft.maxParkedRequests = newMaxParkedRequests;
            draft.parkTimeoutMs = newParkTimeoutMs;
        });
    }

    public GateOptions withSlowStartMs(int newSlowStartMs) {
        return with(draft -> draft.slowStartMs = newSlowStartMs);
    }

    public GateOptions withRecordLimits(int newRetentionMs, int newMaxRecords, long newMaxRecordBytes) {
        return with(draft -> {
            draft.recordRetentionMs = newRetentionMs;
            draft.maxRecords = newMaxRecords;
            draft.maxRecordBytes = newMaxRecordBytes;
        });
    }

    public GateOptions withUnconfirmedRelease(boolean newAllowUnconfirmedRelease) {
        return with(draft -> draft.allowUnconfirmedRelease = newAllowUnconfirmedRelease);
    }

    /** Values of options that are being changed. Not thread safe. */
    private static final class Draft {
        private int taskQueueCapacity;
        private int busyTickMs;
        private int idleTickMs;
        private int grantValidityMs;
        private int grantTimeoutMs;
        private int grantRetryMs;
        private int grantDelayMs;
        private int slowStartMs;
        private int overloadRecoveryMs;
        private int recordRetentionMs;
        private int maxRecords;
        private long maxRecordBytes;
        private long maxTransferBytes;
        private int barredIdRetentionMs;
        private int maxBarredIds;
        private int keyAgeMarginMs;
        private int deadlineGraceMs;
        private int lostCallLifetimeMs;
        private int maxParkedRequests;
        private int parkTimeoutMs;
        private boolean allowUnconfirmedRelease;

        Draft(GateOptions from) {
            taskQueueCapacity = from.taskQueueCapacity;
            busyTickMs = from.busyTickMs;
            idleTickMs = from.idleTickMs;
            grantValidityMs = from.grantValidityMs;
            grantTimeoutMs = from.grantTimeoutMs;
            grantRetryMs = from.grantRetryMs;
            grantDelayMs = from.grantDelayMs;
            slowStartMs = from.slowStartMs;
            overloadRecoveryMs = from.overloadRecoveryMs;
            recordRetentionMs = from.recordRetentionMs;
            maxRecords = from.maxRecords;
            maxRecordBytes = from.maxRecordBytes;
            maxTransferBytes = from.maxTransferBytes;
            barredIdRetentionMs = from.barredIdRetentionMs;
            maxBarredIds = from.maxBarredIds;
            keyAgeMarginMs = from.keyAgeMarginMs;
            deadlineGraceMs = from.deadlineGraceMs;
            lostCallLifetimeMs = from.lostCallLifetimeMs;
            maxParkedRequests = from.maxParkedRequests;
            parkTimeoutMs = from.parkTimeoutMs;
            allowUnconfirmedRelease = from.allowUnconfirmedRelease;
        }

        GateOptions build() {
            return new GateOptions(
                    taskQueueCapacity,
                    busyTickMs,
                    idleTickMs,
                    grantValidityMs,
                    grantTimeoutMs,
                    grantRetryMs,
                    grantDelayMs,
                    slowStartMs,
                    overloadRecoveryMs,
                    recordRetentionMs,
                    maxRecords,
                    maxRecordBytes,
                    maxTransferBytes,
                    barredIdRetentionMs,
                    maxBarredIds,
                    keyAgeMarginMs,
                    deadlineGraceMs,
                    lostCallLifetimeMs,
                    maxParkedRequests,
                    parkTimeoutMs,
                    allowUnconfirmedRelease);
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
