package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.Revision;

/**
 * Highest revisions that a daemon knows of each kind of control object. Immutable.
 *
 * @param configuration revision of the object {@code config/current}
 * @param members highest revision of any object under {@code members/}
 * @param assignments highest revision of any object under {@code assignments/}
 */
public record Digest(Revision configuration, Revision members, Revision assignments) {
    public static final Digest NONE = new Digest(Revision.NONE, Revision.NONE, Revision.NONE);
}
