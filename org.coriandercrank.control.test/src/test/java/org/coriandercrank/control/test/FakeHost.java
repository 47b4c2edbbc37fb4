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

/** One daemon of the fake network, which can be killed, paused and disconnected from its peers. Not thread safe. */
final class FakeHost implements PeerClient {
    private static final long LATENCY_MS = 1;
    private static final int LOG_LINES_PER_SECOND = 0;

    private final VirtualTime time;
    private final Map<HostAddress, FakeHost> network;
    private final HostAddress address;
    private final PeerHandlers handlers = new PeerHandlers();
    private final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
    private final List<Runnable> tasksWhilePaused = new ArrayList<>();
    private final List<MemberId> sealedIncarnations = new ArrayList<>();
    private final ControlPlane control;
    private boolean paused;
    private boolean killed;
    private boolean disconnected;
    private long controlBytes;

    FakeHost(VirtualTime time, Map<HostAddress, FakeHost> network, ObjectStore store, int number, String location) {
        this(time, network, store, number, location, ControlOptions.DEFAULTS, number);
    }

    /**
     * Creates a host.
     *
     * @param location region and failure domain, as {@code region/domain}
     * @param seed determines the member id; a restart on the same address needs another seed to get another id
     */
    FakeHost(
            VirtualTime time,
            Map<HostAddress, FakeHost> network,
            ObjectStore store,
            int number,
            String location,
            ControlOptions options,
            int seed) {
        this.time = time;
        this.network = network;
        this.address = new HostAddress("127.0.0.1", number);
        network.put(address, this);
        String region = location.substring(0, location.indexOf('/'));
        HostIdentity identity = new HostIdentity(
                "host" + number,
                address,
                address,
                address,
                new Region(region),
                new FailureDomain(location.replace('/', '-')));
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

    /** Returns the total size in bytes of the messages sent and received. */
    long controlBytes() {
        return controlBytes;
    }

    void kill() {
        killed = true;
    }

    void setDisconnected(boolean newDisconnected) {
        disconnected = newDisconnected;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> tasks = List.copyOf(tasksWhilePaused);
        tasksWhilePaused.clear();
        tasks.forEach(task -> time.schedule(0, task));
    }

    private void execute(Runnable task) {
        time.schedule(0, () -> {
            if (paused) {
                tasksWhilePaused.add(task);
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
        time.schedule(timeoutMs, () -> result.completeExceptionally(failure(ResultCode.CALL_TIMEOUT)));
        return result;
    }

    @Override
    public void send(PeerTarget target, Message message) {
        transmit(target, message, new CompletableFuture<>(), Message.class);
    }

    private <A extends Message> void transmit(
            PeerTarget target, Message message, CompletableFuture<A> result, Class<A> answerType) {
        FakeHost receiver = network.get(target.address());
        int size = WireSize.ofMessage(message);
        controlBytes += size;
        if (disconnected || receiver.disconnected) {
            return;
        }
        time.schedule(LATENCY_MS, () -> {
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
                int size = WireSize.ofMessage(value);
                controlBytes += size;
                sender.controlBytes += size;
                time.schedule(LATENCY_MS, () -> result.complete(answerType.cast(value)));
            });
        }
    }

    private static CrankException failure(ResultCode code) {
        return new CrankException(code, "fake network");
    }
}
