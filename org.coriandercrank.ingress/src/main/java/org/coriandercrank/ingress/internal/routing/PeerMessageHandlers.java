package org.coriandercrank.ingress.internal.routing;

import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.CancelRequest;
import org.coriandercrank.kernel.message.ForwardAnswer;
import org.coriandercrank.kernel.message.ForwardRequest;
import org.coriandercrank.kernel.message.OutcomeQuery;
import org.coriandercrank.kernel.ownership.OwnerGate;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.AssignmentTable;

/** Passes forwarded requests, cancellations and outcome queries of other daemons to the local gate. Stateless. */
public final class PeerMessageHandlers {
    private PeerMessageHandlers() {}

    /**
     * Registers the handlers.
     *
     * @param region region of this daemon; requests that must not be executed there are refused, because the sender may
     *     know another configuration or another region of this daemon
     */
    public static void register(PeerHandlers handlers, OwnerGate gate, RoutingView view, Region region) {
        handlers.register(
                ForwardRequest.class,
                (sender, message) -> submit(message.request(), gate, region)
                        .thenApply(answer -> new ForwardAnswer(
                                answer, tableGeneration(view, message.request().service()), gate.load())));
        handlers.register(CancelRequest.class, (sender, message) -> {
            gate.cancel(message.requestId());
            return null;
        });
        handlers.register(OutcomeQuery.class, (sender, message) -> gate.resolve(message));
    }

    private static CompletableFuture<CallerAnswer> submit(CallerRequest request, OwnerGate gate, Region region) {
        return request.isAllowedIn(region)
                ? gate.submit(request)
                : CompletableFuture.completedFuture(CallerAnswer.of(
                        ResultCode.REGION_NOT_ALLOWED, "the request must not be executed in the region " + region));
    }

    /**
     * The table generation of this daemon. Must be read after the gate has answered, so that a refusal never carries a
     * generation that the gate had not seen.
     */
    private static Generation tableGeneration(RoutingView view, ServiceName service) {
        return view.current().table(service).map(AssignmentTable::generation).orElse(Generation.NONE);
    }
}
