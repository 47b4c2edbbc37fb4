package org.coriandercrank.kernel.table;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;

/**
 * Record of one incarnation of a daemon.
 *
 * <p>Immutable. Written by the daemon itself; another daemon may only seal the record.
 *
 * @param peerAddress address for connections between daemons
 * @param callerAddress address for requests of callers
 * @param adminAddress address for operators and metrics
 * @param backend the backend server; empty while the state is {@link MemberState#JOINING}
 * @param witnesses members that vote on the lease of this member
 * @param crashReports crashes of its backend servers that the daemon reports; empty if there are none
 */
public record Member(
        MemberId id,
        HostAddress peerAddress,
        HostAddress callerAddress,
        HostAddress adminAddress,
        Region region,
        FailureDomain failureDomain,
        MemberState state,
        Optional<BackendInfo> backend,
        List<MemberId> witnesses,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) Optional<CrashReports> crashReports) {
    public Member {
        require("id", id);
        require("peerAddress", peerAddress);
        require("callerAddress", callerAddress);
        require("adminAddress", adminAddress);
        require("region", region);
        require("failureDomain", failureDomain);
        require("state", state);
        require("witnesses", witnesses);
        witnesses = List.copyOf(witnesses);
    }

    private static void require(String field, Object value) {
        if (value == null) {
            throw new IllegalArgumentException("member record without " + field);
        }
    }

    /** Creates a record without crash reports. */
    public Member(
            MemberId id,
            HostAddress peerAddress,
            HostAddress callerAddress,
            HostAddress adminAddress,
            Region region,
            FailureDomain failureDomain,
            MemberState state,
            Optional<BackendInfo> backend,
            List<MemberId> witnesses) {
        this(
                id,
                peerAddress,
                callerAddress,
                adminAddress,
                region,
                failureDomain,
                state,
                backend,
                witnesses,
                Optional.empty());
    }

    public Member withState(MemberState newState) {
        return new Member(
                id,
                peerAddress,
                callerAddress,
                adminAddress,
                region,
                failureDomain,
                newState,
                backend,
                witnesses,
                crashReports);
    }

    public Member withWitnesses(List<MemberId> newWitnesses) {
        return new Member(
                id,
                peerAddress,
                callerAddress,
                adminAddress,
                region,
                failureDomain,
                state,
                backend,
                newWitnesses,
                crashReports);
    }

    public Member withBackend(BackendInfo newBackend) {
        return new Member(
                id,
                peerAddress,
                callerAddress,
                adminAddress,
                region,
                failureDomain,
                state,
                Optional.of(newBackend),
                witnesses,
                crashReports);
    }

    public Member withCrashReports(Optional<CrashReports> newReports) {
        return new Member(
                id,
                peerAddress,
                callerAddress,
                adminAddress,
                region,
                failureDomain,
                state,
                backend,
                witnesses,
                newReports);
    }
}
