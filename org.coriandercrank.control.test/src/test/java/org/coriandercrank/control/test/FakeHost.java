package org.coriandercrank.control.test;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.control.ControlDependencies;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.control.ControlPlane;
import org.coriandercrank.control.HostIdentity;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.time.TimerService;

/** One daemon of the fake network; can be killed, paused and cut off. Not thread safe. */
final class FakeHost implements PeerClient {
    private static final long LATENCY_MS = 1;
    private static final int LOG_LINES_PER_SECOND = 0;

    private final VirtualTime time;
    private final Map<HostAddress, FakeHost> network;
    private final HostAddress address;
    private final PeerHandlers handlers = new PeerHandlers();
    private final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
    private final List<Runnable> whilePaused = new ArrayList<>();
    private final List<MemberId> sealedIncarnations = new ArrayList<>();
    private final ControlPlane control;
    private boolean paused;
    private boolean killed;
    private boolean cut;
    private long controlBytes;

    FakeHost(VirtualTime time, Map<HostAddress, FakeHost> network, ObjectStore store, int number, String place) {
        this(time, network, store, number, place, ControlOptions.DEFAULT, number);
    }

    /** @param seed makes the member id, so that another start on the same address gets another id */
    FakeHost(
            VirtualTime time,
            Map<HostAddress, FakeHost> network,
            ObjectStore store,
            int number,
            String place,
            ControlOptions options,
            int seed) {
        this.time = time;
        this.network = network;
        this.address = new HostAddress("127.0.0.1", number);
        network.put(address, this);
        String region = place.substring(0, place.indexOf('/'));
        HostIdentity identity = new HostIdentity(
                "host" + number,
                address,
                address,
                address,
                new Region(region),
                new FailureDomain(place.replace('/', '-')));
        TimerService timers = time.timers();
        DecisionLog log = new DecisionLog(LOG_LINES_PER_SECOND, timers.clock());
        ControlDependencies dependencies = new ControlDependencies(store, this, handlers, timers, log, metrics);
        control = ControlPlane.create(options, identity, dependencies, this::execute, new Random(seed));
        control.addIncarnationListener((member, reason) -> sealedIncarnations.add(member));
    }

    ControlPlane control() {
        return control;
    }

    List<MemberId> sealedIncarnations() {
        return sealedIncarnations;
    }

    boolean isLeaseValid() {
        return !killed && control.lease().isValid(time.timers().clock().nowNanos());
    }

    double count(String meter) {
        return metrics.counter(meter).count();
    }

    /** Bytes of messages sent and received. */
    long controlBytes() {
        return controlBytes;
    }

    void kill() {
        killed = true;
    }

    void setCut(boolean newCut) {
        cut = newCut;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> tasks = List.copyOf(whilePaused);
        whilePaused.clear();
        tasks.forEach(task -> time.after(0, task));
    }

    private void execute(Runnable task) {
        time.after(0, () -> {
            if (paused) {
                whilePaused.add(task);
            } else if (!killed) {
                task.run();
            }
        });
    }

    @Override
    public <A extends Message> CompletableFuture<A> call(
            PeerTarget target, Message message, Class<A> answerType, long timeoutMs) {
        CompletableFuture<A> result = new CompletableFuture<>();
        transmit(target, message, result, answerType);
        time.after(timeoutMs, () -> result.completeExceptionally(failure(ResultCode.CALL_TIMEOUT)));
        return result;
    }

    @Override
    public void send(PeerTarget target, Message message) {
        transmit(target, message, new CompletableFuture<>(), Message.class);
    }

    private <A extends Message> void transmit(
            PeerTarget target, Message message, CompletableFuture<A> result, Class<A> answerType) {
        FakeHost receiver = network.get(target.address());
        int size = WireSize.of(message);
        controlBytes += size;
        if (cut || receiver.cut) {
            return;
        }
        time.after(LATENCY_MS, () -> {
            if (receiver.killed) {
                result.completeExceptionally(failure(ResultCode.PEER_UNREACHABLE));
            } else if (!receiver.control.self().equals(target.member())) {
                result.completeExceptionally(failure(ResultCode.WRONG_MEMBER));
            } else {
                receiver.controlBytes += size;
                receiver.receive(this, message, result, answerType);
            }
        });
    }

    private <A extends Message> void receive(
            FakeHost sender, Message message, CompletableFuture<A> result, Class<A> answerType) {
        CompletableFuture<? extends Message> answer =
                handlers.find(message).orElseThrow().handle(sender.control.self(), message);
        if (answer != null) {
            answer.thenAccept(value -> {
                int size = WireSize.of(value);
                controlBytes += size;
                sender.controlBytes += size;
                time.after(LATENCY_MS, () -> result.complete(answerType.cast(value)));
            });
        }
    }

    private static CrankException failure(ResultCode code) {
        return new CrankException(code, "fake network");
    }
}
