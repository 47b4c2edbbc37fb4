package org.coriandercrank.placement.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.LoadQuery;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandler;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Latest load report of each member.
 *
 * <p>Not thread safe: used on the planner duty, to which answers are posted. A member that misses several rounds has no
 * report.
 */
public final class LoadCollector {
    private record Received(LoadReport report, long round) {}

    private static final int MAX_REPORT_AGE_ROUNDS = 3;

    private final MemberId self;
    private final PeerClient peers;
    private final PeerHandlers handlers;
    private final Consumer<Runnable> enqueue;
    private final long timeoutMs;
    private final Map<MemberId, Received> reports = new HashMap<>();
    private long round;

    public LoadCollector(
            MemberId self, PeerClient peers, PeerHandlers handlers, Consumer<Runnable> enqueue, long timeoutMs) {
        this.self = self;
        this.peers = peers;
        this.handlers = handlers;
        this.enqueue = enqueue;
        this.timeoutMs = timeoutMs;
    }

    /** Asks every member that may own ranges. */
    public void query(RoutingSnapshot snapshot) {
        round++;
        reports.values().removeIf(received -> round - received.round > MAX_REPORT_AGE_ROUNDS);
        for (VersionedMember known : snapshot.members().values()) {
            Member member = known.member();
            boolean mayOwn = member.state() == MemberState.ACTIVE || member.state() == MemberState.LEAVING;
            if (mayOwn && member.backend().isPresent()) {
                long queryRound = round;
                queryMember(member).whenComplete((report, failure) -> {
                    if (failure == null) {
                        enqueue.accept(() -> store(report, queryRound));
                    }
                });
            }
        }
    }

    /** An answer of an earlier round may arrive after that of a later one. */
    private void store(LoadReport report, long queryRound) {
        Received previous = reports.get(report.member());
        if (previous == null || previous.round < queryRound) {
            reports.put(report.member(), new Received(report, queryRound));
        }
    }

    private CompletableFuture<LoadReport> queryMember(Member member) {
        LoadQuery query = new LoadQuery(self);
        if (!member.id().equals(self)) {
            return peers.call(PeerTarget.of(member), query, LoadReport.class, timeoutMs);
        }
        Optional<PeerHandler<LoadQuery>> handler = handlers.find(query);
        if (handler.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new CrankException(ResultCode.UNSUPPORTED_MESSAGE, "no handler for load queries"));
        }
        CompletableFuture<? extends Message> answer = handler.get().handle(self, query);
        return answer.thenApply(LoadReport.class::cast);
    }

    public Map<MemberId, LoadReport> reports() {
        Map<MemberId, LoadReport> latest = new HashMap<>();
        reports.forEach((member, received) -> latest.put(member, received.report));
        return latest;
    }

    public void clear() {
        reports.clear();
    }
}
