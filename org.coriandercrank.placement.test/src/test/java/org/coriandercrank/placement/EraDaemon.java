package org.coriandercrank.placement;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.ownership.StoreEra;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;

/**
 * The dependencies of one daemon, whose store, view and clock a test sets. Peers do not answer. All tasks run on the
 * thread of the test, one after the other. Not thread safe.
 */
public final class EraDaemon implements RoutingView, PeerClient, TimerService {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final Revision CONFIGURATION_REVISION = new Revision(1);

    private record Event(long atMs, Runnable task) {}

    private final EraStore store;
    private final MemberId self;
    private final List<Consumer<RoutingSnapshot>> listeners = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private RoutingSnapshot snapshot;
    private StoreEra storeEra;
    private boolean running;
    private int snapshotReads;
    private long nowMs = 1_000;

    public EraDaemon(EraStore store, MemberId self) {
        this.store = store;
        this.self = self;
        this.snapshot = RoutingSnapshot.empty(self);
        this.storeEra = new StoreEra(store.era(), true);
    }

    /** Creates the dependencies, with handlers of their own. */
    public PlacementDependencies dependencies() {
        return new PlacementDependencies(
                self,
                store,
                this,
                this,
                new PeerHandlers(),
                this,
                new DecisionLog(0, MonotonicClock.SYSTEM),
                new SimpleMeterRegistry(),
                (name, capacity) -> new InlineExecutor());
    }

    void setStoreEra(Era era, boolean settled) {
        storeEra = new StoreEra(era, settled);
    }

    /** Publishes a snapshot with a table and members, all with the same revision. */
    void publish(AssignmentTable table, Revision revision, Member... members) {
        Map<MemberId, VersionedMember> known = new HashMap<>();
        for (Member member : members) {
            known.put(member.id(), new VersionedMember(member, revision));
        }
        snapshot = new RoutingSnapshot(
                self, CONFIGURATION_REVISION, TestFleet.configuration(), Map.of(TestFleet.SERVICE, table), known);
        listeners.forEach(listener -> listener.accept(snapshot));
    }

    /** How often a component has read the snapshot since the start. */
    int snapshotReads() {
        return snapshotReads;
    }

    void runFor(long durationMs) {
        long endMs = nowMs + durationMs;
        while (true) {
            Event next = events.stream()
                    .min(Comparator.comparingLong(Event::atMs))
                    .filter(event -> event.atMs() <= endMs)
                    .orElse(null);
            if (next == null) {
                nowMs = endMs;
                return;
            }
            events.remove(next);
            nowMs = next.atMs();
            next.task().run();
        }
    }

    @Override
    public RoutingSnapshot current() {
        snapshotReads++;
        return snapshot;
    }

    @Override
    public StoreEra storeEra() {
        return storeEra;
    }

    @Override
    public void subscribe(Consumer<RoutingSnapshot> listener) {
        listeners.add(listener);
    }

    @Override
    public CompletableFuture<RoutingSnapshot> await(Predicate<RoutingSnapshot> condition, long waitMs) {
        return new CompletableFuture<>();
    }

    @Override
    public <A extends Message> CompletableFuture<A> call(
            PeerTarget target, Message message, Class<A> answerType, long timeoutMs) {
        return new CompletableFuture<>();
    }

    @Override
    public void send(PeerTarget target, Message message) {}

    @Override
    public MonotonicClock clock() {
        return () -> nowMs * NANOS_PER_MS;
    }

    @Override
    public Subscription every(long periodMs, Executor executor, Runnable task) {
        return once(periodMs, executor, () -> {
            every(periodMs, executor, task);
            task.run();
        });
    }

    @Override
    public Subscription once(long delayMs, Executor executor, Runnable task) {
        events.add(new Event(nowMs + delayMs, () -> executor.execute(task)));
        return () -> {};
    }

    @Override
    public void close() {}

    private final class InlineExecutor implements SerialExecutor {
        @Override
        public boolean offer(Runnable task) {
            tasks.add(task);
            if (!running) {
                running = true;
                while (!tasks.isEmpty()) {
                    tasks.remove().run();
                }
                running = false;
            }
            return true;
        }

        @Override
        public void execute(Runnable task) {
            offer(task);
        }

        @Override
        public void close() {}
    }
}
