package org.coriandercrank.ingress.internal.routing;

import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.Member;

/** Refusals of requests that no server in their allowed regions can take. Stateless. */
final class RegionRefusals {
    private RegionRefusals() {}

    /** The refusal of a keyed request whose owner is outside the allowed regions; empty if it may be sent there. */
    static Optional<CallerAnswer> ofOwner(
            DispatchContext context, CallerRequest request, MemberId owner, RoutingSnapshot snapshot) {
        Optional<Region> region = owner.equals(snapshot.self())
                ? Optional.of(context.dependencies().region())
                : snapshot.member(owner).map(Member::region);
        return region.filter(r -> !request.isAllowedIn(r))
                .map(r ->
                        refusal(context, "the owner " + owner + " is in " + r + ", where the request is not allowed"));
    }

    /** The refusal of a request for which no server is eligible. */
    static CallerAnswer noServer(DispatchContext context, CallerRequest request) {
        Set<Region> allowedRegions =
                request.rules().map(RequestRules::allowedRegions).orElse(Set.of());
        return allowedRegions.isEmpty()
                ? CallerAnswer.retryLater(
                        ResultCode.NO_OWNER,
                        "no server of the service accepts requests",
                        context.options().defaultRetryAfterMs())
                : refusal(context, "no server of the service in " + allowedRegions + " accepts requests");
    }

    private static CallerAnswer refusal(DispatchContext context, String detail) {
        return CallerAnswer.retryLater(
                ResultCode.REGION_NOT_ALLOWED, detail, context.options().defaultRetryAfterMs());
    }
}
