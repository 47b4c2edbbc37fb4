package org.coriandercrank.ingress;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiFunction;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.message.ForwardAnswer;
import org.coriandercrank.kernel.message.ForwardRequest;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.message.OutcomeQuery;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.request.CallerAnswer;

/** A peer client that returns the answers that a test provides. Thread safe. */
final class FakePeers implements PeerClient {
    final List<ForwardRequest> forwards = new CopyOnWriteArrayList<>();
    final List<PeerTarget> targets = new CopyOnWriteArrayList<>();
    final List<OutcomeQuery> queries = new CopyOnWriteArrayList<>();
    final List<Message> sent = new CopyOnWriteArrayList<>();

    /** Answers the n-th forwarded request. Arguments: the request and n, from 1 on. */
    volatile BiFunction<ForwardRequest, Integer, CompletableFuture<ForwardAnswer>> onForward = (r, n) -> executed();

    /** Answers the n-th outcome query. Arguments: the query and n, from 1 on. */
    volatile BiFunction<OutcomeQuery, Integer, CompletableFuture<OutcomeAnswer>> onQuery =
            (q, n) -> failed(ResultCode.PEER_UNREACHABLE);

    static CompletableFuture<ForwardAnswer> executed() {
        return answer(CallerAnswer.executed(200, List.of(), "remote".getBytes(IngressFixture.UTF8)), 1);
    }

    static CompletableFuture<ForwardAnswer> answer(CallerAnswer answer, long generation) {
        return CompletableFuture.completedFuture(new ForwardAnswer(answer, new Generation(generation)));
    }

    static <T> CompletableFuture<T> failed(ResultCode code) {
        return CompletableFuture.failedFuture(new CrankException(code, "simulated failure"));
    }

    @Override
    public <A extends Message> CompletableFuture<A> call(
            PeerTarget target, Message message, Class<A> answerType, long timeoutMs) {
        if (message instanceof ForwardRequest forward) {
            forwards.add(forward);
            targets.add(target);
            return onForward.apply(forward, forwards.size()).thenApply(answerType::cast);
        }
        OutcomeQuery query = (OutcomeQuery) message;
        queries.add(query);
        return onQuery.apply(query, queries.size()).thenApply(answerType::cast);
    }

    @Override
    public void send(PeerTarget target, Message message) {
        sent.add(message);
    }
}
