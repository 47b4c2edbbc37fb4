package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import org.coriandercrank.gate.internal.Admission;
import org.coriandercrank.gate.internal.Admission.AdmissionContext;
import org.coriandercrank.gate.internal.Admission.RangeStatus;
import org.coriandercrank.gate.internal.ConcurrencyLimit;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.aggregator.ArgumentsAccessor;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the admission of requests and the concurrency limit. */
class AdmissionTest {
    /** Guards against a wrong result code and a wrong order of the checks. */
    @ParameterizedTest
    @CsvSource({
        // lease valid, range status, draining, backend attached, grant unavailable, record lost, remaining ms,
        // key share exceeded, queued, occupied slots, expected wait ms, result code, service ms, objective ms,
        // overloaded
        "true,  SERVED,     false, true,  false, false, 100, false, 0,  0, 0,   , 0, 1000, false",
        "false, NOT_SERVED, true,  false, true,  true,  0,   true,  10, 4, 500, LEASE_LAPSED, 0, 1000, false",
        "true,  NOT_SERVED, true,  false, true,  true,  0,   true,  10, 4, 500, NOT_OWNER, 0, 1000, false",
        "true,  MOVING,     true,  false, true,  true,  0,   true,  10, 4, 500, RANGE_MOVING, 0, 1000, false",
        "true,  SERVED,     true,  false, true,  true,  0,   true,  10, 4, 500, DRAINING, 0, 1000, false",
        "true,  SERVED,     false, false, true,  true,  0,   true,  10, 4, 500, RECORD_LOST, 0, 1000, false",
        "true,  SERVED,     false, false, false, false, 0,   true,  10, 4, 500, BACKEND_UNAVAILABLE, 0, 1000, false",
        "true,  SERVED,     false, true,  true,  false, 0,   true,  10, 4, 500, BACKEND_UNAVAILABLE, 0, 1000, false",
        "true,  SERVED,     false, true,  false, false, 0,   true,  10, 4, 500, DEADLINE_EXPIRED, 0, 1000, false",
        "true,  SERVED,     false, true,  false, false, 100, true,  10, 4, 500, KEY_SHARE_EXCEEDED, 0, 1000, false",
        "true,  SERVED,     false, true,  false, false, 100, false, 10, 4, 500, OVERLOADED, 0, 1000, false",
        "true,  SERVED,     false, true,  false, false, 100, false, 9,  4, 101, OVERLOADED, 0, 1000, false",
        "true,  SERVED,     false, true,  false, false, 100, false, 9,  4, 99,  , 0, 1000, false",
        "true,  SERVED,     false, true,  false, false, 100, false, 0,  3, 0,   , 0, 1000, false",
        "true,  SERVED,     false, true,  false, false, 100, false, 9,  4, 99,  OVERLOADED, 10, 1000, false",
        "true,  SERVED,     false, true,  false, false, 100, false, 9,  4, 80,  , 40, 1000, false",
        "true,  SERVED,     false, true,  false, false, 900, false, 9,  4, 80,  OVERLOADED, 40, 100, true",
        "true,  SERVED,     false, true,  false, false, 900, false, 9,  4, 80,  , 40, 100, false",
        "true,  SERVED,     false, true,  false, false, 900, false, 9,  4, 50,  , 40, 100, true",
    })
    void refusals(ArgumentsAccessor row) {
        AdmissionContext context = new AdmissionContext(
                row.getBoolean(0),
                row.get(1, RangeStatus.class),
                row.getBoolean(2),
                row.getBoolean(3),
                row.getBoolean(4),
                row.getBoolean(5),
                row.getLong(6),
                row.getBoolean(7),
                row.getInteger(8),
                10,
                row.getInteger(9),
                4,
                row.getLong(10),
                row.getLong(12),
                row.getLong(13),
                row.getBoolean(14));
        ResultCode code = row.get(11, ResultCode.class);
        assertThat(Admission.refusal(context, () -> 50).map(CallerAnswer::code).orElse(null))
                .isEqualTo(code);
    }

    /** Guards against a limit above the number of slots or below 1, and one that stays low after an overload. */
    @Test
    void overloadHalvesTheLimitTemporarily() {
        ConcurrencyLimit limit = new ConcurrencyLimit(12, 0, 1_000, 0);
        assertThat(limit.limit(0)).isEqualTo(12);
        limit.onOverload(0);
        limit.onOverload(1_000_000);
        assertThat(limit.limit(1_000_000)).isEqualTo(6);
        for (int i = 1; i <= 20; i++) {
            limit.onOverload(i * 100_000_000L);
        }
        assertThat(limit.limit(2_000_000_000L)).isEqualTo(1);
        assertThat(limit.limit(3_100_000_000L)).isEqualTo(12);
    }
}
