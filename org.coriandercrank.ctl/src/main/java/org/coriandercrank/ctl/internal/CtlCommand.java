package org.coriandercrank.ctl.internal;

/** A command of {@code crankctl}; blocks until it has its result. */
@FunctionalInterface
public interface CtlCommand {
    CtlResult execute();
}
