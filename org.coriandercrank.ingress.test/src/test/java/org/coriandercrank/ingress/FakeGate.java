package org.coriandercrank.ingress;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.ownership.OwnerGate;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;

/** A gate whose answers a test provides. Throws if the ingress calls a method that it must not use. Thread safe. */
final class FakeGate {
    final List<CallerRequest> submitted = new CopyOnWriteArrayList<>();
    final List<RequestId> cancelled = new CopyOnWriteArrayList<>();
    volatile Function<CallerRequest, CompletableFuture<CallerAnswer>> answerFunction =
            request -> CompletableFuture.completedFuture(
                    CallerAnswer.executed(200, List.of(), "local".getBytes(IngressFixture.UTF8)));

    final OwnerGate ownerGate = (OwnerGate) Proxy.newProxyInstance(
            FakeGate.class.getClassLoader(),
            new Class<?>[] {OwnerGate.class},
            (proxy, method, arguments) -> switch (method.getName()) {
                case "submit" -> {
                    submitted.add((CallerRequest) arguments[0]);
                    yield answerFunction.apply((CallerRequest) arguments[0]);
                }
                case "cancel" -> {
                    cancelled.add((RequestId) arguments[0]);
                    yield null;
                }
                case "load" -> GateLoad.NONE;
                default -> throw new UnsupportedOperationException(method.getName());
            });
}
