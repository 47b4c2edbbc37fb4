package org.coriandercrank.gate;

import java.util.function.Consumer;

/**
 * Options of a gate. Immutable; the constructor checks that each value is in its valid range.
 *
 * @param taskQueueCapacity number of tasks that can wait for the thread of the gate
 * @param busyTickMs interval between checks of deadlines, grants and releases while requests, acquires or releases are
 *     pending
 * @param idleTickMs interval between these checks while nothing is pending
 * @param grantValidityMs maximum validity of a grant; a grant is also never valid for longer than the rest of the lease
 * @param grantTimeoutMs time after which a grant without an answer counts as failed
 * @param grantRetryMs time between a failed grant and the next attempt
 * @param grantDelayMs time for which changes of the granted ranges are collected before the gate sends a grant
 * @param slowStartMs time in which the concurrency limit grows from a quarter of the slots to all of them after a
 *     backend server was attached
 * @param overloadRecoveryMs time in which the concurrency limit returns to all slots after the backend server reported
 *     overload
 * @param recordRetentionMs time for which the gate keeps an outcome record
 * @param maxRecords maximum number of outcome records
 * @param maxRecordBytes maximum total size of the outcome records in bytes
 * @param maxTransferBytes maximum total size in bytes of the outcome records that are passed on with a released range
 * @param barredIdRetentionMs time for which a barred request id is refused, added to the maximum deadline of the
 *     service
 * @param maxBarredIds maximum number of barred request ids; at the maximum, an outcome query returns UNKNOWN instead of
 *     BARRED
 * @param keyAgeMarginMs upper bound for the time that a request travels from the caller to the gate; it is added to the
 *     age of the idempotency key that the caller states
 * @param deadlineGraceMs time after the deadline of a call at which a backend server that honours deadlines has
 *     certainly ended the call
 * @param lostCallLifetimeMs time after the deadline of a call without an answer at which the gate assumes that a
 *     backend server that does not honour deadlines has ended the call
 * @param maxParkedRequests maximum number of requests that wait for a range that is assigned to this gate but not yet
 *     served; with 0 such requests are refused
 * @param parkTimeoutMs maximum time that such a request waits
 * @param coldOverage factor by which the requests to a cold server may exceed the rate that its service states
 * @param coldSlack requests in a second that a cold server tolerates in addition to those of its rate
 * @param evacuationDelayMs time from the evacuation of the failure domain of the server until the gate refuses requests,
 *     in which the ranges are moved
 * @param allowUnconfirmedRelease whether a release may complete although the backend server neither acknowledged the
 *     revocation nor honours the validity of grants
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
        double coldOverage,
        double coldSlack,
        int evacuationDelayMs,
        boolean allowUnconfirmedRelease) {
    private static final int DEFAULT_TASK_QUEUE_CAPACITY = 8_192;
    private static final int DEFAULT_BUSY_TICK_MS = 5;
    private static final int DEFAULT_IDLE_TICK_MS = 25;
    private static final int DEFAULT_GRANT_VALIDITY_MS = 1_000;
    private static final int DEFAULT_GRANT_TIMEOUT_MS = 300;
    private static final int DEFAULT_GRANT_RETRY_MS = 50;
    private static final int DEFAULT_GRANT_DELAY_MS = 0;
    private static final int DEFAULT_SLOW_START_MS = 5_000;
    private static final int DEFAULT_OVERLOAD_RECOVERY_MS = 1_000;
    private static final int DEFAULT_RECORD_RETENTION_MS = 600_000;
    private static final int DEFAULT_MAX_RECORDS = 50_000;
    private static final long DEFAULT_MAX_RECORD_BYTES = 16_777_216;
    private static final long DEFAULT_MAX_TRANSFER_BYTES = 4_194_304;
    private static final int DEFAULT_BARRED_ID_RETENTION_MS = 60_000;
    private static final int DEFAULT_MAX_BARRED_IDS = 50_000;
    private static final int DEFAULT_KEY_AGE_MARGIN_MS = 250;
    private static final int DEFAULT_DEADLINE_GRACE_MS = 250;
    private static final int DEFAULT_LOST_CALL_LIFETIME_MS = 60_000;
    private static final int DEFAULT_MAX_PARKED_REQUESTS = 0;
    private static final int DEFAULT_PARK_TIMEOUT_MS = 0;
    private static final double DEFAULT_COLD_OVERAGE = 1;
    private static final double DEFAULT_COLD_SLACK = 8;
    private static final int DEFAULT_EVACUATION_DELAY_MS = 2_000;
    private static final boolean DEFAULT_ALLOW_UNCONFIRMED_RELEASE = false;

    /** Default options, with parking of requests disabled. */
    public static final GateOptions DEFAULTS = new GateOptions(
            DEFAULT_TASK_QUEUE_CAPACITY,
            DEFAULT_BUSY_TICK_MS,
            DEFAULT_IDLE_TICK_MS,
            DEFAULT_GRANT_VALIDITY_MS,
            DEFAULT_GRANT_TIMEOUT_MS,
            DEFAULT_GRANT_RETRY_MS,
            DEFAULT_GRANT_DELAY_MS,
            DEFAULT_SLOW_START_MS,
            DEFAULT_OVERLOAD_RECOVERY_MS,
            DEFAULT_RECORD_RETENTION_MS,
            DEFAULT_MAX_RECORDS,
            DEFAULT_MAX_RECORD_BYTES,
            DEFAULT_MAX_TRANSFER_BYTES,
            DEFAULT_BARRED_ID_RETENTION_MS,
            DEFAULT_MAX_BARRED_IDS,
            DEFAULT_KEY_AGE_MARGIN_MS,
            DEFAULT_DEADLINE_GRACE_MS,
            DEFAULT_LOST_CALL_LIFETIME_MS,
            DEFAULT_MAX_PARKED_REQUESTS,
            DEFAULT_PARK_TIMEOUT_MS,
            DEFAULT_COLD_OVERAGE,
            DEFAULT_COLD_SLACK,
            DEFAULT_EVACUATION_DELAY_MS,
            DEFAULT_ALLOW_UNCONFIRMED_RELEASE);

    public GateOptions {
        checkPositive("taskQueueCapacity", taskQueueCapacity);
        checkPositive("busyTickMs", busyTickMs);
        checkPositive("idleTickMs", idleTickMs);
        checkPositive("grantValidityMs", grantValidityMs);
        checkPositive("grantTimeoutMs", grantTimeoutMs);
        checkPositive("grantRetryMs", grantRetryMs);
        checkNotNegative("grantDelayMs", grantDelayMs);
        checkNotNegative("slowStartMs", slowStartMs);
        checkPositive("overloadRecoveryMs", overloadRecoveryMs);
        checkPositive("recordRetentionMs", recordRetentionMs);
        checkPositive("maxRecords", maxRecords);
        checkPositive("maxRecordBytes", maxRecordBytes);
        checkNotNegative("maxTransferBytes", maxTransferBytes);
        checkPositive("barredIdRetentionMs", barredIdRetentionMs);
        checkPositive("maxBarredIds", maxBarredIds);
        checkNotNegative("keyAgeMarginMs", keyAgeMarginMs);
        checkNotNegative("deadlineGraceMs", deadlineGraceMs);
        checkNotNegative("lostCallLifetimeMs", lostCallLifetimeMs);
        checkNotNegative("maxParkedRequests", maxParkedRequests);
        checkNotNegative("parkTimeoutMs", parkTimeoutMs);
        checkNotNegative("evacuationDelayMs", evacuationDelayMs);
        if (!(coldOverage > 0 && coldOverage < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("coldOverage must be positive and finite, got " + coldOverage);
        }
        if (!(coldSlack >= 0 && coldSlack < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("coldSlack must not be negative and must be finite, got " + coldSlack);
        }
    }

    /** Returns these options with other intervals between the periodic checks. */
    public GateOptions withTickIntervals(int newBusyTickMs, int newIdleTickMs) {
        return with(builder -> {
            builder.busyTickMs = newBusyTickMs;
            builder.idleTickMs = newIdleTickMs;
        });
    }

    /** Returns these options with other times for the grants to the backend server. */
    public GateOptions withGrantTimings(int newValidityMs, int newTimeoutMs, int newRetryMs, int newDelayMs) {
        return with(builder -> {
            builder.grantValidityMs = newValidityMs;
            builder.grantTimeoutMs = newTimeoutMs;
            builder.grantRetryMs = newRetryMs;
            builder.grantDelayMs = newDelayMs;
        });
    }

    /** Returns these options with other limits for parked requests. */
    public GateOptions withParkingLimits(int newMaxParkedRequests, int newParkTimeoutMs) {
        return with(builder -> {
            builder.maxParkedRequests = newMaxParkedRequests;
            builder.parkTimeoutMs = newParkTimeoutMs;
        });
    }

    /** Returns these options with another slow start time; 0 allows all slots at once. */
    public GateOptions withSlowStartMs(int newSlowStartMs) {
        return with(builder -> builder.slowStartMs = newSlowStartMs);
    }

    /** Returns these options with other limits for the outcome records. */
    public GateOptions withRecordLimits(int newRetentionMs, int newMaxRecords, long newMaxRecordBytes) {
        return with(builder -> {
            builder.recordRetentionMs = newRetentionMs;
            builder.maxRecords = newMaxRecords;
            builder.maxRecordBytes = newMaxRecordBytes;
        });
    }

    /** Returns these options with another factor for cold servers. */
    public GateOptions withColdOverage(double newColdOverage) {
        return with(builder -> builder.coldOverage = newColdOverage);
    }

    /** Returns these options with another slack for cold servers. */
    public GateOptions withColdSlack(double newColdSlack) {
        return with(builder -> builder.coldSlack = newColdSlack);
    }

    /** Returns these options with another time until an evacuated server receives no requests. */
    public GateOptions withEvacuationDelayMs(int newEvacuationDelayMs) {
        return with(builder -> builder.evacuationDelayMs = newEvacuationDelayMs);
    }

    /** Returns these options with another value of {@code allowUnconfirmedRelease}. */
    public GateOptions withUnconfirmedRelease(boolean newAllowUnconfirmedRelease) {
        return with(builder -> builder.allowUnconfirmedRelease = newAllowUnconfirmedRelease);
    }

    /** Mutable copy of the options. Not thread safe. */
    private static final class Builder {
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
        private double coldOverage;
        private double coldSlack;
        private int evacuationDelayMs;
        private boolean allowUnconfirmedRelease;

        Builder(GateOptions from) {
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
            coldOverage = from.coldOverage;
            coldSlack = from.coldSlack;
            evacuationDelayMs = from.evacuationDelayMs;
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
                    coldOverage,
                    coldSlack,
                    evacuationDelayMs,
                    allowUnconfirmedRelease);
        }
    }

    private GateOptions with(Consumer<Builder> change) {
        Builder builder = new Builder(this);
        change.accept(builder);
        return builder.build();
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
