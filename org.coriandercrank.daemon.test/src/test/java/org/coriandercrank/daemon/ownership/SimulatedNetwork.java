package org.coriandercrank.daemon.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.message.ReleaseRequest;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandler;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.store.TableCodec;

/**
 * Network between the daemons, with delays, losses, a partition into two groups of hosts and a cut that passes messages
 * one way. Not thread safe.
 */
final class SimulatedNetwork {
    private static final int MAX_LATENCY_MS = 4;

    /** The process that listens at an address. */
    private record Endpoint(SimulatedProcess process, PeerHandlers handlers, Supplier<MemberId> self) {}

    private final SimulatedTime time;
    private final Random random;
    private final HeldKeys heldKeys;
    private final Map<HostAddress, Endpoint> endpoints = new HashMap<>();
    private final Map<HostAddress, Integer> groups = new HashMap<>();
    private Set<HostAddress> unheard = Set.of();
    private MessageDelays delays = MessageDelays.NONE;
    private double loss;

    /** @param heldKeys checks what the daemons send */
    SimulatedNetwork(SimulatedTime time, Random random, HeldKeys heldKeys) {
        this.heldKeys = heldKeys;
        this.time = time;
        this.random = random;
    }

    /** Sets the probability that a message is lost. */
    void setLoss(double newLoss) {
        loss = newLoss;
    }

    /** Puts a host into a group; messages pass only between hosts of the same group. */
    void setGroup(HostAddress address, int group) {
        groups.put(address, group);
    }

    /** Sets the hosts whose messages reach only each other, while the messages of all others reach them. */
    void setUnheard(Set<HostAddress> newUnheard) {
        unheard = newUnheard;
    }

    /** Sets the delays of messages beside the latency. */
    void setDelays(MessageDelays newDelays) {
        delays = newDelays;
    }

    void heal() {
        groups.clear();
        unheard = Set.of();
        delays = MessageDelays.NONE;
        loss = 0;
    }

    /** Makes a process the one that listens at an address, and returns its client. */
    PeerClient listen(HostAddress address, SimulatedProcess process, PeerHandlers handlers, Supplier<MemberId> self) {
        Endpoint endpoint = new Endpoint(process, handlers, self);
        endpoints.put(address, endpoint);
        return new PeerClient() {
            @Override
            public <A extends Message> CompletableFuture<A> call(
                    PeerTarget target, Message message, Class<A> answerType, long timeoutMs) {
                CompletableFuture<Message> result = new CompletableFuture<>();
                transmit(address, endpoint, target, message, result);
                process.schedule(timeoutMs, () -> result.completeExceptionally(failure(ResultCode.CALL_TIMEOUT)));
                return result.thenApply(answerType::cast);
            }

            @Override
            public void send(PeerTarget target, Message message) {
                transmit(address, endpoint, target, message, new CompletableFuture<>());
            }
        };
    }

    private void transmit(
            HostAddress from, Endpoint sender, PeerTarget target, Message message, CompletableFuture<Message> result) {
        MemberId senderId = sender.self().get();
        check(senderId, message);
        deliver(from, target.address(), () -> {
            Endpoint receiver = endpoints.get(target.address());
            if (receiver == null || receiver.process().isKilled()) {
                reply(
                        target.address(),
                        from,
                        sender,
                        () -> result.completeExceptionally(failure(ResultCode.PEER_UNREACHABLE)));
                return;
            }
            receiver.process()
                    .run(() -> handle(senderId, target, receiver, message).whenComplete((answer, thrown) -> {
                        if (answer instanceof LoadReport) {
                            check(target.member(), answer);
                        }
                        reply(target.address(), from, sender, () -> {
                            if (thrown == null) {
                                result.complete(answer);
                            } else {
                                result.completeExceptionally(CrankException.of(thrown));
                            }
                        });
                    }));
        });
    }

    private static CompletableFuture<? extends Message> handle(
            MemberId sender, PeerTarget target, Endpoint receiver, Message message) {
        if (!receiver.self().get().equals(target.member())) {
            return CompletableFuture.failedFuture(failure(ResultCode.WRONG_MEMBER));
        }
        PeerHandler<Message> handler = receiver.handlers().find(message).orElse(null);
        if (handler == null) {
            return CompletableFuture.failedFuture(failure(ResultCode.STARTING));
        }
        CompletableFuture<? extends Message> answer = handler.handle(sender, message);
        return answer == null ? new CompletableFuture<>() : answer;
    }

    /** Checks a message that a daemon sends of its own accord, or a load report. */
    private void check(MemberId sender, Message message) {
        if (message instanceof ReleaseRequest request) {
            heldKeys.releaseRequested(request);
        } else if (message instanceof LoadReport report) {
            heldKeys.tableApplied(sender, report.tableGeneration());
        } else if (message instanceof ObjectData data && data.kind() == FetchObject.Kind.ASSIGNMENTS) {
            data.objects().forEach(object -> heldKeys.tablePushed(sender, TableCodec.decode(object.value())));
        }
    }

    private void reply(HostAddress from, HostAddress to, Endpoint receiver, Runnable task) {
        deliver(from, to, () -> receiver.process().run(task));
    }

    private void deliver(HostAddress from, HostAddress to, Runnable task) {
        if (random.nextDouble() < loss) {
            return;
        }
        time.schedule(1L + random.nextInt(MAX_LATENCY_MS) + delays.draw(random), () -> {
            if (passes(from, to)) {
                task.run();
            }
        });
    }

    private boolean passes(HostAddress from, HostAddress to) {
        return groups.getOrDefault(from, 0).equals(groups.getOrDefault(to, 0))
                && (!unheard.contains(from) || unheard.contains(to));
    }

    private static CrankException failure(ResultCode code) {
        return new CrankException(code, "simulated network");
    }
}
