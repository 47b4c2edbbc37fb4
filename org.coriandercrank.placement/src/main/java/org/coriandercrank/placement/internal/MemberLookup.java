package org.coriandercrank.placement.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.coriandercrank.kernel.id.Era;
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
 * Looks up members in the store that a table references and a snapshot lacks, and caches the results.
 *
 * <p>Not thread safe: confined to the serial executor of the planner, on which results of the store are processed too.
 * A member counts as removed only if its record in the store is sealed or missing. A result is dropped if a new era of the
 * store began during the lookup.
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

    /** Members whose record was found sealed or missing; a live view. */
    public Set<MemberId> removedMembers() {
        return removedMembers;
    }

    /** Clears the cache, because the store may have lost what was found. */
    public void clear() {
        removedMembers.clear();
        foundMembers.clear();
    }

    /** Clears the cache of members that were found unsealed, because they may have been sealed since. */
    public void clearFoundMembers() {
        foundMembers.clear();
    }

    /** Members whose record was found and not sealed; a live view. */
    public Map<MemberId, Member> foundMembers() {
        return foundMembers;
    }

    /** Whether every member that a table references is known; starts lookups of the members that are not. */
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
        Era startedIn = store.era();
        store.get(ObjectNames.member(member))
                .whenComplete((object, failure) -> enqueue.accept(() -> {
                    pendingLookups.remove(member);
                    if (failure == null && store.era().equals(startedIn)) {
                        lookupCompleted(member, object);
                    }
                }));
    }

    private void lookupCompleted(MemberId id, Optional<StoredObject> object) {
        Optional<Member> unsealed =
                object.map(o -> JsonCodec.decode(o.value(), Member.class)).filter(m -> m.state() != MemberState.SEALED);
        if (unsealed.isPresent()) {
            foundMembers.put(id, unsealed.get());
        } else {
            removedMembers.add(id);
        }
    }

    /** Reads all members in the store. */
    public CompletableFuture<List<Member>> listMembers() {
        return store.list(ObjectNames.MEMBERS_PREFIX)
                .thenApply(batch -> batch.changes().stream()
                        .filter(o -> !o.deleted())
                        .map(o -> JsonCodec.decode(o.value(), Member.class))
                        .toList());
    }
}
