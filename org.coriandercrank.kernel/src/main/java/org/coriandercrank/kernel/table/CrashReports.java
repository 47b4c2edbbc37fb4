package org.coriandercrank.kernel.table;

import java.util.List;
import org.coriandercrank.kernel.id.CrashId;
import org.coriandercrank.kernel.id.RequestFingerprint;

/**
 * What a daemon reports about crashes of backend servers. Part of the member record, so that all daemons learn it.
 * Immutable.
 *
 * @param crashes crashes of the servers of this host
 * @param retractions requests that have caused none of the crashes that are named with them
 */
public record CrashReports(List<Crash> crashes, List<Retraction> retractions) {
    /**
     * A server that ended without having announced it.
     *
     * @param candidates requests that ran at the server and may have caused the crash
     */
    public record Crash(CrashId id, List<RequestFingerprint> candidates) {
        public Crash {
            candidates = List.copyOf(candidates);
        }
    }

    /** States that a server has answered a request, which therefore has caused none of the given crashes. */
    public record Retraction(RequestFingerprint request, List<CrashId> crashes) {
        public Retraction {
            crashes = List.copyOf(crashes);
        }
    }

    public CrashReports {
        crashes = List.copyOf(crashes);
        retractions = List.copyOf(retractions);
    }
}
