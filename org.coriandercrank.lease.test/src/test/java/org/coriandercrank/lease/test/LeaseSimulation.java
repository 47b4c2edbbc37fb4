package org.coriandercrank.lease.test;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.lease.HolderAction;
import org.coriandercrank.lease.LeaseHolder;
import org.coriandercrank.lease.LeaseTiming;
import org.coriandercrank.lease.Takeover;
import org.coriandercrank.lease.TakeoverAction;
import org.coriandercrank.lease.Witness;

/**
 * Deterministic event simulation of one holder, six witnesses and two takers that suspect the holder without reason.
 * Takers run on the processes of the first two witnesses. Not thread safe; a seed decides everything.
 */
final class LeaseSimulation {
    private static final long MS = 1_000_000;
    private static final long END_NANOS = 40_000 * MS;
    private static final long TICK_NANOS = 50 * MS;
    private static final long STORE_TIMEOUT_NANOS = 400 * MS;
    private static final int WITNESSES = 6;
    private static final int TAKERS = 2;
    private static final LeaseTiming TIMING = LeaseTiming.ofMs(2_000, 500, 105);

    private record Event(long atNanos, long order, SimulatedProcess process, Runnable task) {}

    private record Interval(long fromNanos, long toNanos) {}

    private final Random random;
    private final int witnessCount;
    private final double lossRate;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) ->
            a.atNanos() != b.atNanos() ? Long.compare(a.atNanos(), b.atNanos()) : Long.compare(a.order(), b.order()));
    private final SimulatedProcess holderProcess;
    private final SimulatedProcess storeProcess;
    private final List<SimulatedProcess> processes = new ArrayList<>();
    private final List<Witness> witnesses = new ArrayList<>();
    private final List<MemberId> ids = new ArrayList<>();
    private final List<Optional<Takeover>> takeovers = new ArrayList<>();
    private final List<Interval> outages;
    private final List<Interval> holderCuts;
    private final SimulatedStore store = new SimulatedStore();
    private final LeaseHolder holder;
    private long order;
    private long nowNanos;
    private boolean sealed;
    private Optional<String> violation = Optional.empty();

    LeaseSimulation(long seed, int witnessCount) {
        random = new Random(seed);
        this.witnessCount = witnessCount;
        lossRate = random.nextDouble() * 0.3;
        holderProcess = new SimulatedProcess(random);
        storeProcess = new SimulatedProcess(random);
        for (int i = 0; i < WITNESSES; i++) {
            processes.add(new SimulatedProcess(random));
            witnesses.add(new Witness(TIMING, 4));
            ids.add(new MemberId("w" + i));
        }
        outages = intervals(3, 5_000);
        holderCuts = intervals(3, 4_000);
        holder = new LeaseHolder(TIMING, member(randomSet(witnessCount)), holderProcess.localNanos(0));
        schedulePauses();
        every(holderProcess, () -> perform(holder.tick(holderNow())));
        for (int i = 0; i < TAKERS; i++) {
            int taker = i;
            takeovers.add(Optional.empty());
            every(processes.get(i), () -> takerTick(taker));
        }
        for (int i = random.nextInt(12); i > 0; i--) {
            at(random.nextLong(END_NANOS), holderProcess, () -> holder.setDesired(member(changedSet())));
        }
    }

    /** Runs to the end or the first violation; the text of the violation, if any. */
    Optional<String> run() {
        while (!events.isEmpty() && violation.isEmpty()) {
            Event event = events.poll();
            if (event.atNanos() > END_NANOS) {
                break;
            }
            long runnableAt = event.process().runnableAt(event.atNanos());
            if (runnableAt > event.atNanos()) {
                at(runnableAt, event.process(), event.task());
                continue;
            }
            nowNanos = event.atNanos();
            event.task().run();
            checkLease();
        }
        return violation;
    }

    boolean sealed() {
        return sealed;
    }

    private void checkLease() {
        sealed = store.isSealed();
        if (sealed && holder.validUntilNanos() - holderProcess.localNanos(nowNanos) > 0) {
            violation = Optional.of("lease valid after seal at " + nowNanos / MS + " ms");
        }
    }

    private long holderNow() {
        return holderProcess.localNanos(nowNanos);
    }

    private void perform(List<HolderAction> actions) {
        for (HolderAction action : actions) {
            if (action instanceof HolderAction.SendHeartbeat heartbeat) {
                sendHeartbeat(heartbeat);
            } else if (action instanceof HolderAction.WriteRecord write) {
                long operation = write.operation();
                storeWrite(
                        holderProcess,
                        write.record(),
                        write.expected(),
                        revision -> perform(holder.writeSucceeded(operation, revision, holderNow())),
                        () -> perform(holder.writeConflicted(operation, holderNow())),
                        () -> holder.writeFailed(operation, holderNow()),
                        () -> perform(holder.writeUnanswered(operation, holderNow())));
            } else if (action instanceof HolderAction.ReadRecord read) {
                long operation = read.operation();
                storeRead(
                        holderProcess,
                        found -> perform(holder.readSucceeded(operation, found, holderNow())),
                        () -> holder.readFailed(operation, holderNow()));
            }
        }
    }

    private void sendHeartbeat(HolderAction.SendHeartbeat heartbeat) {
        int index = ids.indexOf(heartbeat.witness());
        SimulatedProcess process = processes.get(index);
        message(process, () -> {
            boolean granted = witnesses
                    .get(index)
                    .acceptHeartbeat(holder.desired().id(), heartbeat.recordRevision(), process.localNanos(nowNanos));
            message(
                    holderProcess,
                    () -> perform(
                            holder.heartbeatAnswered(heartbeat.witness(), heartbeat.sequence(), granted, holderNow())));
        });
    }

    private void takerTick(int taker) {
        if (takeovers.get(taker).isEmpty()) {
            store.read().ifPresent(found -> learnLater(taker, found));
            return;
        }
        performTaker(taker, takeovers.get(taker).get().tick(takerNow(taker)));
    }

    /** The record reaches the taker after a delay, so the taker's knowledge can be outdated. */
    private void learnLater(int taker, VersionedMember found) {
        if (random.nextInt(20) == 0) {
            at(nowNanos + delay(), processes.get(taker), () -> {
                if (takeovers.get(taker).isEmpty()) {
                    long now = takerNow(taker);
                    takeovers.set(taker, Optional.of(new Takeover(TIMING, found, now, now)));
                }
            });
        }
    }

    private long takerNow(int taker) {
        return processes.get(taker).localNanos(nowNanos);
    }

    private void performTaker(int taker, List<TakeoverAction> actions) {
        Takeover takeover = takeovers.get(taker).orElseThrow();
        SimulatedProcess process = processes.get(taker);
        for (TakeoverAction action : actions) {
            if (action instanceof TakeoverAction.RequestRefusal ask) {
                askRefusal(taker, ask.witness(), ask.recordRevision());
            } else if (action instanceof TakeoverAction.Seal seal) {
                long operation = seal.operation();
                storeWrite(
                        process,
                        seal.sealed(),
                        seal.expected(),
                        revision -> takeover.sealSucceeded(operation, revision, takerNow(taker)),
                        () -> performTaker(taker, takeover.sealNotConfirmed(operation, takerNow(taker))),
                        () -> takeover.storeFailed(operation, takerNow(taker)),
                        () -> performTaker(taker, takeover.sealNotConfirmed(operation, takerNow(taker))));
            } else if (action instanceof TakeoverAction.ReadRecord read) {
                long operation = read.operation();
                storeRead(
                        process,
                        found -> takeover.readSucceeded(operation, found, takerNow(taker)),
                        () -> takeover.storeFailed(operation, takerNow(taker)));
            }
        }
    }

    private void askRefusal(int taker, MemberId witness, Revision revision) {
        int index = ids.indexOf(witness);
        SimulatedProcess process = processes.get(index);
        message(process, () -> {
            Witness.RefusalDecision decision =
                    witnesses.get(index).requestRefusal(holder.desired().id(), revision, process.localNanos(nowNanos));
            if (decision.granted()) {
                message(holderProcess, () -> perform(holder.refusalReceived(revision, holderNow())));
            }
            message(processes.get(taker), () -> {
                Takeover takeover = takeovers.get(taker).orElseThrow();
                performTaker(
                        taker,
                        takeover.refusalAnswered(
                                witness, revision, decision.granted(), decision.retryAfterNanos(), takerNow(taker)));
            });
        });
    }

    private void storeWrite(
            SimulatedProcess client,
            Member value,
            Revision expected,
            Consumer<Revision> succeeded,
            Runnable conflicted,
            Runnable failed,
            Runnable unanswered) {
        at(nowNanos + STORE_TIMEOUT_NANOS, client, unanswered);
        boolean cut = client == holderProcess && isIn(holderCuts);
        boolean lost = cut || random.nextDouble() < lossRate / 2;
        long delay = random.nextInt(8) == 0 ? random.nextLong(6_000 * MS) : delay();
        if (lost && random.nextBoolean()) {
            return;
        }
        at(nowNanos + delay, storeProcess, () -> {
            if (isIn(outages) && random.nextBoolean()) {
                at(nowNanos + delay(), client, failed);
                return;
            }
            Optional<Revision> revision = store.write(value, expected);
            if (!lost) {
                at(nowNanos + delay(), client, () -> revision.ifPresentOrElse(succeeded, conflicted));
            }
        });
    }

    private void storeRead(SimulatedProcess client, Consumer<Optional<VersionedMember>> succeeded, Runnable failed) {
        at(nowNanos + STORE_TIMEOUT_NANOS, client, failed);
        if (random.nextDouble() < lossRate || (client == holderProcess && isIn(holderCuts))) {
            return;
        }
        at(nowNanos + delay(), storeProcess, () -> {
            if (!isIn(outages)) {
                Optional<VersionedMember> found = store.read();
                at(nowNanos + delay(), client, () -> succeeded.accept(found));
            }
        });
    }

    private void message(SimulatedProcess receiver, Runnable task) {
        boolean cut = receiver == holderProcess && isIn(holderCuts);
        if (!cut && random.nextDouble() >= lossRate) {
            at(nowNanos + delay(), receiver, task);
        }
        if (random.nextInt(10) == 0) {
            at(nowNanos + delay() + random.nextLong(4_000 * MS), receiver, task);
        }
    }

    private long delay() {
        return random.nextInt(10) == 0 ? random.nextLong(1_500 * MS) : random.nextLong(20 * MS);
    }

    private boolean isIn(List<Interval> intervals) {
        return intervals.stream()
                .anyMatch(interval -> interval.fromNanos() <= nowNanos && nowNanos < interval.toNanos());
    }

    private List<Interval> intervals(int count, long maxMs) {
        List<Interval> result = new ArrayList<>();
        for (int i = random.nextInt(count + 1); i > 0; i--) {
            long from = random.nextLong(END_NANOS);
            result.add(new Interval(from, from + random.nextLong(maxMs * MS)));
        }
        return result;
    }

    private void schedulePauses() {
        List<SimulatedProcess> all = new ArrayList<>(processes);
        all.add(holderProcess);
        all.add(holderProcess);
        for (SimulatedProcess process : all) {
            for (int i = random.nextInt(3); i > 0; i--) {
                long from = random.nextLong(END_NANOS);
                long until = from + random.nextLong(5_000 * MS);
                at(from, process, () -> process.pauseUntil(until));
            }
        }
    }

    static Member member(List<MemberId> witnessSet) {
        HostAddress address = new HostAddress("127.0.0.1", 1);
        return new Member(
                new MemberId("holder"),
                address,
                address,
                address,
                new Region("r"),
                new FailureDomain("d"),
                MemberState.ACTIVE,
                Optional.empty(),
                witnessSet);
    }

    private List<MemberId> changedSet() {
        return random.nextInt(4) == 0 ? randomSet(2 * random.nextInt(3)) : randomSet(witnessCount);
    }

    private List<MemberId> randomSet(int size) {
        List<MemberId> shuffled = new ArrayList<>(ids);
        Collections.shuffle(shuffled, random);
        return shuffled.subList(0, size);
    }

    private void every(SimulatedProcess process, Runnable task) {
        at(nowNanos + TICK_NANOS, process, () -> {
            task.run();
            every(process, task);
        });
    }

    private void at(long atNanos, SimulatedProcess process, Runnable task) {
        order++;
        events.add(new Event(atNanos, order, process, task));
    }
}
