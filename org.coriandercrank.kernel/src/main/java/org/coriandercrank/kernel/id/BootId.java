package org.coriandercrank.kernel.id;

/**
 * Identifies one process of a daemon. A daemon that restarts may keep its member id, but not its boot id. {@link #NONE}
 * stands for an unknown process.
 *
 * <p>Immutable.
 */
public record BootId(int value) {
    public static final BootId NONE = new BootId(0);

    @Override
    public String toString() {
        return Integer.toHexString(value);
    }
}
