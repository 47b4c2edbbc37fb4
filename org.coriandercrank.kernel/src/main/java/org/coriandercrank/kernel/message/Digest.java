package org.coriandercrank.kernel.message;

import java.util.stream.Stream;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Revision;

/**
 * For each kind of control object, the revision up to which a daemon knows every change. The revisions also advance
 * without a change, when the store confirms that nothing changed. Immutable.
 *
 * @param configuration revision for {@code config/current}
 * @param members revision for all objects under {@code members/}
 * @param assignments revision for all objects under {@code assignments/}
 */
public record Digest(Revision configuration, Revision members, Revision assignments) {
    public static final Digest NONE = new Digest(Revision.NONE, Revision.NONE, Revision.NONE);

    /** Returns the latest era in which the daemon has heard from the store. */
    public Era latestEra() {
        return Stream.of(configuration, members, assignments)
                .max(Revision::compareTo)
                .map(Revision::era)
                .orElseThrow();
    }
}
