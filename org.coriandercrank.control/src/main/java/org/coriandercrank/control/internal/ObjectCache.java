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
 * Control objects of one kind.
 *
 * <p>Invariants: every change up to {@link #completeUpTo()} is known; an object never goes back to an older revision and
 * a deleted one does not come back, because a change at or below that revision is already contained. Not thread safe.
 */
public final class ObjectCache {
    private static final int MAX_DELETIONS = 1_024;

    private final FetchObject.Kind kind;
    private final Map<String, StoredObject> objects = new HashMap<>();
    private final LinkedHashMap<String, StoredObject> deletions = new LinkedHashMap<>();
    private Revision completeUpTo = Revision.NONE;

    /** Every deletion after this revision is in {@link #deletions}. */
    private Revision deletionsSince = Revision.NONE;

    public ObjectCache(FetchObject.Kind kind) {
        this.kind = kind;
    }

    public Revision completeUpTo() {
        return completeUpTo;
    }

    public Optional<StoredObject> get(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    /**
     * Takes over changes and returns those that were news; deletions found by a reset are included with the revision of
     * the listing.
     *
     * @param upTo the changes contain everything after the revision that was asked for and up to this one
     * @param reset whether the changes are a whole listing
     */
    public List<StoredObject> apply(List<StoredObject> changes, Revision upTo, boolean reset) {
        List<StoredObject> news = new ArrayList<>();
        if (reset && completeUpTo.isNewerThan(upTo)) {
            return news;
        }
        for (StoredObject change : changes) {
            if (change.revision().isNewerThan(completeUpTo) && put(change)) {
                news.add(change);
            }
        }
        if (reset) {
            removeMissing(changes, upTo, news);
        }
        if (upTo.isNewerThan(completeUpTo)) {
            completeUpTo = upTo;
        }
        return news;
    }

    /** Takes over a single object, for example one written by this daemon; whether it was news. */
    public boolean applyOne(StoredObject change) {
        return change.revision().isNewerThan(completeUpTo) && put(change);
    }

    /** All changes after a revision, or the whole listing if the deletions since then are no longer known. */
    public ObjectData since(Revision newerThan) {
        if (!completeUpTo.isNewerThan(newerThan)) {
            return new ObjectData(kind, completeUpTo, false, List.of());
        }
        if (deletionsSince.isNewerThan(newerThan)) {
            return new ObjectData(kind, completeUpTo, true, List.copyOf(objects.values()));
        }
        List<StoredObject> changes = new ArrayList<>();
        objects.values().stream()
                .filter(object -> object.revision().isNewerThan(newerThan))
                .forEach(changes::add);
        deletions.values().stream()
                .filter(object -> object.revision().isNewerThan(newerThan))
                .forEach(changes::add);
        return new ObjectData(kind, completeUpTo, false, changes);
    }

    private boolean put(StoredObject change) {
        if (!change.revision().isNewerThan(knownRevision(change.name()))) {
            return false;
        }
        deletions.remove(change.name());
        if (change.deleted()) {
            objects.remove(change.name());
            deletions.put(change.name(), change);
            forgetOldDeletions();
        } else {
            objects.put(change.name(), change);
        }
        return true;
    }

    private Revision knownRevision(String name) {
        StoredObject known = objects.containsKey(name) ? objects.get(name) : deletions.get(name);
        return known == null ? Revision.NONE : known.revision();
    }

    private void removeMissing(List<StoredObject> listing, Revision upTo, List<StoredObject> news) {
        Set<String> listed = new HashSet<>();
        listing.forEach(object -> listed.add(object.name()));
        for (StoredObject object : List.copyOf(objects.values())) {
            if (!listed.contains(object.name()) && !object.revision().isNewerThan(upTo)) {
                objects.remove(object.name());
                news.add(new StoredObject(object.name(), upTo, new byte[0], true));
            }
        }
        deletions.values().removeIf(deletion -> !deletion.revision().isNewerThan(upTo));
        deletionsSince = upTo;
    }

    private void forgetOldDeletions() {
        while (deletions.size() > MAX_DELETIONS) {
            Iterator<StoredObject> oldest = deletions.values().iterator();
            Revision forgotten = oldest.next().revision();
            oldest.remove();
            if (forgotten.isNewerThan(deletionsSince)) {
                deletionsSince = forgotten;
            }
        }
    }
}
