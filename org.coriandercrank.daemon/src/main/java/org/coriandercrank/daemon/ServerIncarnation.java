package org.coriandercrank.daemon;

/**
 * One life of a backend server: a server that starts again, also under its former id, is another one. Immutable.
 *
 * @param bornMs time of the start, in milliseconds since the epoch
 */
public record ServerIncarnation(String id, long bornMs) {
    public ServerIncarnation {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("id must not be empty");
        }
    }
}
