package org.coriandercrank.placement.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.HeldRangesQuery;
import org.coriandercrank.kernel.message.HeldRangesReport;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandler;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.table.Member;

/** Asks members what they hold. Stateless and thread safe. */
public final class HeldRangesCollector {
    private final MemberId self;
    private final PeerClient peers;
    private final PeerHandlers handlers;
    private final long timeoutMs;

    public HeldRangesCollector(MemberId self, PeerClient peers, PeerHandlers handlers, long timeoutMs) {
        this.self = self;
        this.peers = peers;
        this.handlers = handlers;
        this.timeoutMs = timeoutMs;
    }

    /** Asks all members at once; completes with the answers when each has answered or failed to, and never fails. */
    CompletableFuture<Map<MemberId, HeldRangesReport>> collect(Collection<Member> members, Era era) {
        Map<MemberId, HeldRangesReport> reports = new ConcurrentHashMap<>();
        List<CompletableFuture<Void>> answers = members.stream()
                .map(member -> ask(member, era).handle((report, failure) -> {
                    if (failure == null && report.member().equals(member.id())) {
                        reports.put(member.id(), report);
                    }
                    return (Void) null;
                }))
                .toList();
        return CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> new HashMap<>(reports));
    }

    private CompletableFuture<HeldRangesReport> ask(Member member, Era era) {
        HeldRangesQuery query = new HeldRangesQuery(self, era);
        if (!member.id().equals(self)) {
            return peers.call(PeerTarget.of(member), query, HeldRangesReport.class, timeoutMs);
        }
        Optional<PeerHandler<HeldRangesQuery>> handler = handlers.find(query);
        if (handler.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new CrankException(ResultCode.UNSUPPORTED_MESSAGE, "no handler for held ranges is registered"));
        }
        CompletableFuture<? extends Message> answer = handler.get().handle(self, query);
        return answer.thenApply(HeldRangesReport.class::cast);
    }
}
