package org.coriandercrank.placement.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Finds out in the store about members that a table mentions and a snapshot lacks.
 *
 * <p>Not thread safe: used on the planner duty, to which answers are posted. A member counts as gone only if the store
 * says that its record is sealed or does not exist.
 */
public final class MemberLookup {
    private static final int MAX_CACHED_MEMBERS = 10_000;

    private final ObjectStore store;
    private final Consumer<Runnable> enqueue;
    private final Set<MemberId> pendingLookups = new HashSet<>();
    private final Set<MemberId> removedMembers = new HashSet<>();
    private final Map<MemberId, Member> foundMembers = new HashMap<>();

    public MemberLookup(ObjectStore store, Consumer<Runnable> enqueue) {
        this.store = store;
        this.enqueue = enqueue;
    }

    public Set<MemberId> removedMembers() {
        return removedMembers;
    }

    /** Forgets the members found alive, which may have been sealed since. */
    public void clearFoundMembers() {
        foundMembers.clear();
    }

    public Map<MemberId, Member> foundMembers() {
        return foundMembers;
    }

    /** Whether every member that a table mentions is known; starts the lookup of those that are not. */
    public boolean resolveMissing(RoutingSnapshot snapshot, AssignmentTable table) {
        if (removedMembers.size() + foundMembers.size() > MAX_CACHED_MEMBERS) {
            removedMembers.clear();
            foundMembers.clear();
        }
        Set<MemberId> missing = new HashSet<>();
        table.assignments().forEach(a -> {
            missing.add(a.owner());
            missing.addAll(a.previousOwners());
        });
        missing.removeIf(
                m -> snapshot.members().containsKey(m) || removedMembers.contains(m) || foundMembers.containsKey(m));
        missing.stream().filter(pendingLookups::add).forEach(this::lookUp);
        return missing.isEmpty();
    }

    private void lookUp(MemberId member) {
        store.get(ObjectNames.member(member))
                .whenComplete((object, failure) -> enqueue.accept(() -> {
                    pendingLookups.remove(member);
                    if (failure == null) {
                        lookupCompleted(member, object);
                    }
                }));
    }

    private void lookupCompleted(MemberId id, Optional<StoredObject> object) {
        Optional<Member> alive =
                object.map(o -> JsonCodec.decode(o.value(), Member.class)).filter(m -> m.state() != MemberState.SEALED);
        if (alive.isPresent()) {
            foundMembers.put(id, alive.get());
        } else {
            removedMembers.add(id);
        }
    }

    /** All members in the store. */
    public CompletableFuture<List<Member>> listMembers() {
        return store.list(ObjectNames.MEMBERS_PREFIX)
                .thenApply(batch -> batch.changes().stream()
                        .filter(o -> !o.deleted())
                        .map(o -> JsonCodec.decode(o.value(), Member.class))
                        .toList());
    }
}
