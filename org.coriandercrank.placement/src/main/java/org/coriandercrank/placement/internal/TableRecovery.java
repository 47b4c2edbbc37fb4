package org.coriandercrank.placement.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.message.HeldRangesReport;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.time.MonotonicClock;

/**
 * Makes the first table of a service in an era of the store: reads the members, asks them what they hold and writes a
 * {@link RecoveryTable}. Must be called only after the era has settled.
 *
 * <p>Not thread safe: confined to the executor of the planner.
 */
public final class TableRecovery {
    /** Time to wait for members that answer but are still acquiring or releasing. */
    private static final long INCOMPLETE_WAIT_MS = 2_000;

    private final MemberLookup members;
    private final HeldRangesCollector collector;
    private final TableWriter writer;
    private final Executor executor;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<ServiceName, Long> startedMs = new HashMap<>();

    public TableRecovery(
            MemberLookup members,
            HeldRangesCollector collector,
            TableWriter writer,
            Executor executor,
            MonotonicClock clock,
            DecisionLog log) {
        this.members = members;
        this.collector = collector;
        this.writer = writer;
        this.executor = executor;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Recovers the table of a service; completes without a written table if members have to be asked again, or if the
     * store has a table of the era already.
     *
     * @param known the newest table that this daemon knows
     * @param decide returns the table for the input and all stored members; called on the executor
     */
    public CompletableFuture<TableWriter.Outcome> recover(
            AssignmentTable known,
            Era era,
            BiFunction<RecoveryTable.Input, List<Member>, Optional<TablePlanner.Decision>> decide) {
        ServiceName service = known.service();
        startedMs.putIfAbsent(service, clock.nowMs());
        return members.listMembers()
                .thenComposeAsync(
                        stored -> collector
                                .collect(ownersOf(service, stored), era)
                                .thenComposeAsync(reports -> write(known, era, stored, reports, decide), executor),
                        executor);
    }

    private static List<Member> ownersOf(ServiceName service, List<Member> stored) {
        return stored.stream()
                .filter(member -> member.state() != MemberState.SEALED)
                .filter(member -> member.backend().map(BackendInfo::service).equals(Optional.of(service)))
                .toList();
    }

    private CompletableFuture<TableWriter.Outcome> write(
            AssignmentTable known,
            Era era,
            List<Member> stored,
            Map<MemberId, HeldRangesReport> reports,
            BiFunction<RecoveryTable.Input, List<Member>, Optional<TablePlanner.Decision>> decide) {
        ServiceName service = known.service();
        Map<MemberId, HeldRangesReport> complete = RecoveryTable.completeOf(reports, era);
        long waitedMs = clock.nowMs() - startedMs.getOrDefault(service, clock.nowMs());
        if (complete.size() < reports.size() && waitedMs < INCOMPLETE_WAIT_MS) {
            return CompletableFuture.completedFuture(
                    new TableWriter.Outcome(AssignmentTable.empty(service), Optional.empty()));
        }
        Set<MemberId> unreported =
                ownersOf(service, stored).stream().map(Member::id).collect(Collectors.toCollection(HashSet::new));
        unreported.removeAll(complete.keySet());
        return writer.write(service, executor, storedTable -> {
            if (!era.isNewerThan(storedTable.generation().era())) {
                startedMs.remove(service);
                return CompletableFuture.completedFuture(Optional.empty());
            }
            AssignmentTable newest = storedTable.generation().isNewerThan(known.generation()) ? storedTable : known;
            RecoveryTable.Input input = new RecoveryTable.Input(
                    newest, era, complete, unreported, owner -> restarted(owner, stored, complete.keySet()));
            Optional<TablePlanner.Decision> decision = decide.apply(input, stored);
            decision.ifPresent(d -> logRecovery(storedTable, input, d, waitedMs));
            return CompletableFuture.completedFuture(decision);
        });
    }

    /** The member with a complete report that runs on the host of a former owner. */
    private static Optional<MemberId> restarted(MemberId owner, List<Member> stored, Set<MemberId> reported) {
        return stored.stream()
                .filter(member -> member.id().equals(owner))
                .findFirst()
                .flatMap(former -> stored.stream()
                        .filter(member -> reported.contains(member.id()))
                        .filter(member -> member.peerAddress().equals(former.peerAddress()))
                        .map(Member::id)
                        .findFirst());
    }

    private void logRecovery(
            AssignmentTable storedTable, RecoveryTable.Input input, TablePlanner.Decision decision, long waitedMs) {
        startedMs.remove(storedTable.service());
        log.log(() -> "event=table-recovered service=" + storedTable.service() + " era=" + input.era() + " stored="
                + storedTable.generation() + " newest=" + input.newest().generation() + " generation="
                + decision.table().generation() + " reported=" + input.reports().keySet() + " unreported="
                + input.unreported() + " newlyAssigned=" + decision.changes().size() + " waitedMs=" + waitedMs);
    }
}
