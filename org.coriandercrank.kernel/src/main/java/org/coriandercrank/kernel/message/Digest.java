package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.Revision;

/**
 * Revisions up to which a daemon knows every change of each kind of control object. They advance without a change too,
 * when the store confirms that there was none. Immutable.
 *
 * @param configuration for {@code config/current}
 * @param members for all objects under {@code members/}
 * @param assignments for all objects under {@code assignments/}
 */
public record Digest(Revision configuration, Revision members, Revision assignments) {
    public static final Digest NONE = new Digest(Revision.NONE, Revision.NONE, Revision.NONE);
}
