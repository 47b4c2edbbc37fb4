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
 * @param evacuations revision for all objects under {@code evacuations/}; {@link Revision#NONE} if the daemon does not read
 *     them, as with daemons of earlier versions
 */
public record Digest(Revision configuration, Revision members, Revision assignments, Revision evacuations) {
    public static final Digest NONE = new Digest(Revision.NONE, Revision.NONE, Revision.NONE);

    /** Creates the digest of a daemon that does not read evacuations. */
    public Digest(Revision configuration, Revision members, Revision assignments) {
        this(configuration, members, assignments, Revision.NONE);
    }

    public Digest withEvacuations(Revision newEvacuations) {
        return new Digest(configuration, members, assignments, newEvacuations);
    }

    /** Returns the latest era in which the daemon has heard from the store. */
    public Era latestEra() {
        return Stream.of(configuration, members, assignments, evacuations)
                .max(Revision::compareTo)
                .map(Revision::era)
                .orElseThrow();
    }
}
