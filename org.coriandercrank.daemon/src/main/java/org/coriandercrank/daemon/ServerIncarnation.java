package org.coriandercrank.daemon;

/**
 * One process of a backend server. A server that restarts is another incarnation, even under the same id. Immutable.
 *
 * @param bornMs start time of the process, in milliseconds since the epoch
 */
public record ServerIncarnation(String id, long bornMs) {
    public ServerIncarnation {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("id must not be empty");
        }
    }
}
