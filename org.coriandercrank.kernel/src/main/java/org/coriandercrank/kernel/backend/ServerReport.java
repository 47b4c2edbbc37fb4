package org.coriandercrank.kernel.backend;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The latest that a backend server stated about itself. Immutable.
 *
 * @param load load in its latest response that states one
 * @param coldUntilNanos monotonic time until which the server is cold; empty if it did not state to be cold
 */
public record ServerReport(Optional<StatedLoad> load, OptionalLong coldUntilNanos) {
    /** The report of a server that stated nothing. */
    public static final ServerReport NONE = new ServerReport(Optional.empty(), OptionalLong.empty());

    public ServerReport withLoad(StatedLoad newLoad) {
        return new ServerReport(Optional.of(newLoad), coldUntilNanos);
    }

    public ServerReport withColdUntilNanos(OptionalLong newColdUntilNanos) {
        return new ServerReport(load, newColdUntilNanos);
    }

    public boolean isCold(long nowNanos) {
        return coldUntilNanos.isPresent() && nowNanos - coldUntilNanos.getAsLong() < 0;
    }
}
