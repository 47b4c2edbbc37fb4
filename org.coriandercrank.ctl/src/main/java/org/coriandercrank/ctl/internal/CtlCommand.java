package org.coriandercrank.ctl.internal;

/** A command of {@code crankctl}. */
@FunctionalInterface
public interface CtlCommand {
    /** Executes the command. Blocks until the result is available. */
    CtlResult execute();
}
