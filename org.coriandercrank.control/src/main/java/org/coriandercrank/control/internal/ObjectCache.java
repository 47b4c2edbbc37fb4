package org.coriandercrank.control.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.store.StoredObject;

/**
 * Cache of the control objects of one kind.
 *
 * <p>Invariants: an object never reverts to an older revision, though to an older state if the store did so and began a
 * new era. A deleted object does not reappear, because each deletion that is not remembered is older than every change
 * that is accepted. The cache contains every change up to {@link #completeUpTo()} that the store reported; one that it
 * withheld and reports later is still accepted. Not thread safe.
 */
public final class ObjectCache {
    private static final int MAX_TOMBSTONES = 1_024;

    private final FetchObject.Kind kind;
    private final Map<String, StoredObject> objects = new HashMap<>();
    /** Latest deletions, so that peers can be sent changes instead of a whole listing. */
    private final LinkedHashMap<String, StoredObject> tombstones = new LinkedHashMap<>();

    private Revision completeUpTo = Revision.NONE;

    /** The tombstones contain every deletion after this revision. */
    private Revision tombstonesCompleteSince = Revision.NONE;

    public ObjectCache(FetchObject.Kind kind) {
        this.kind = kind;
    }

    /** Returns the revision up to which the cache contains every change. */
    public Revision completeUpTo() {
        return completeUpTo;
    }

    /** Returns the highest revision of an object in the cache. */
    public Revision latestObjectRevision() {
        return objects.values().stream()
                .map(StoredObject::revision)
                .max(Revision::compareTo)
                .orElse(Revision.NONE);
    }

    public Optional<StoredObject> get(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    /**
     * Applies changes and returns those that were newer than the cached state. Objects that a complete listing shows as
     * deleted are returned as deletions at the revision of the listing.
     *
     * @param upTo the changes contain everything after the requested revision and up to this one; changes of another era
     *     than that of the cache are ignored unless they are a complete listing
     * @param reset whether the changes are a complete listing
     */
    public List<StoredObject> apply(List<StoredObject> changes, Revision upTo, boolean reset) {
        List<StoredObject> applied = new ArrayList<>();
        boolean otherEra = !upTo.era().equals(completeUpTo.era()) && !completeUpTo.equals(Revision.NONE);
        if ((reset && completeUpTo.isNewerThan(upTo)) || (!reset && otherEra)) {
            return applied;
        }
        Map<String, StoredObject> latest = new HashMap<>();
        changes.forEach(change -> latest.put(change.name(), change));
        for (StoredObject change : changes) {
            boolean recreated = change.deleted() && !latest.get(change.name()).deleted();
            if (!recreated && change.revision().isNewerThan(tombstonesCompleteSince) && put(change)) {
                applied.add(change);
            }
        }
        if (reset) {
            removeMissing(changes, upTo, applied);
        }
        if (upTo.isNewerThan(completeUpTo)) {
            completeUpTo = upTo;
        }
        return applied;
    }

    /**
     * Applies a single object, for example one written by this daemon; returns whether it was newer than the cached
     * one.
     */
    public boolean applySingle(StoredObject change) {
        return change.revision().isNewerThan(tombstonesCompleteSince) && put(change);
    }

    /**
     * Returns all changes after a revision, or a complete listing if some deletions after it have been evicted or the
     * revision is of an earlier era.
     */
    public ObjectData changesSince(Revision newerThan) {
        if (!completeUpTo.isNewerThan(newerThan)) {
            return new ObjectData(kind, completeUpTo, false, List.of());
        }
        boolean otherEra = !newerThan.equals(Revision.NONE) && !newerThan.era().equals(completeUpTo.era());
        // A configuration that was deleted stays in force, so its deletions need not be sent.
        boolean deletionsUnknown =
                kind != FetchObject.Kind.CONFIGURATION && tombstonesCompleteSince.isNewerThan(newerThan);
        if (otherEra || deletionsUnknown) {
            return new ObjectData(kind, completeUpTo, true, List.copyOf(objects.values()));
        }
        List<StoredObject> changes = new ArrayList<>();
        objects.values().stream()
                .filter(object -> object.revision().isNewerThan(newerThan))
                .forEach(changes::add);
        tombstones.values().stream()
                .filter(object -> object.revision().isNewerThan(newerThan))
                .forEach(changes::add);
        return new ObjectData(kind, completeUpTo, false, changes);
    }

    private boolean put(StoredObject change) {
        if (!change.revision().isNewerThan(knownRevision(change.name()))) {
            return false;
        }
        boolean alreadyDeleted = tombstones.remove(change.name()) != null;
        if (!change.deleted()) {
            objects.put(change.name(), change);
            return true;
        }
        objects.remove(change.name());
        tombstones.put(change.name(), change);
        evictOldTombstones();
        return !alreadyDeleted;
    }

    private Revision knownRevision(String name) {
        StoredObject cachedObject = objects.containsKey(name) ? objects.get(name) : tombstones.get(name);
        return cachedObject == null ? Revision.NONE : cachedObject.revision();
    }

    private void removeMissing(List<StoredObject> listing, Revision upTo, List<StoredObject> applied) {
        Set<String> listed = new HashSet<>();
        listing.forEach(object -> listed.add(object.name()));
        for (StoredObject object : List.copyOf(objects.values())) {
            if (!listed.contains(object.name()) && !object.revision().isNewerThan(upTo)) {
                objects.remove(object.name());
                applied.add(new StoredObject(object.name(), upTo, new byte[0], true));
            }
        }
        tombstones.values().removeIf(tombstone -> !tombstone.revision().isNewerThan(upTo));
        tombstonesCompleteSince = upTo;
    }

    private void evictOldTombstones() {
        while (tombstones.size() > MAX_TOMBSTONES) {
            Iterator<StoredObject> oldest = tombstones.values().iterator();
            Revision evicted = oldest.next().revision();
            oldest.remove();
            if (evicted.isNewerThan(tombstonesCompleteSince)) {
                tombstonesCompleteSince = evicted;
            }
        }
    }
}
