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
 * Queries the members for load reports and keeps the latest report of each.
 *
 * <p>Not thread safe: confined to the serial executor of the planner, on which answers are processed too. A report is
 * discarded when its member has not answered for more than {@link #MAX_REPORT_AGE_ROUNDS} rounds.
 */
public final class LoadCollector {
    /** A report and the round of queries that it answers. */
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

    /** Starts a round: sends a load query to every member that may own ranges. */
    public void query(RoutingSnapshot snapshot) {
        round++;
        reports.values().removeIf(received -> round - received.round > MAX_REPORT_AGE_ROUNDS);
        for (VersionedMember versioned : snapshot.members().values()) {
            Member member = versioned.member();
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

    /** Keeps a report unless a later round was answered before; answers may arrive out of order. */
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
                    new CrankException(ResultCode.UNSUPPORTED_MESSAGE, "no handler for load queries is registered"));
        }
        CompletableFuture<? extends Message> answer = handler.get().handle(self, query);
        return answer.thenApply(LoadReport.class::cast);
    }

    /** A copy of the latest reports by member. */
    public Map<MemberId, LoadReport> reports() {
        Map<MemberId, LoadReport> latest = new HashMap<>();
        reports.forEach((member, received) -> latest.put(member, received.report));
        return latest;
    }

    public void clear() {
        reports.clear();
    }
}
