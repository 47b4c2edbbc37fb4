package org.coriandercrank.lease;

/**
 * Sizes of quorums of n witnesses and the store, n + 1 votes. A lease needs a majority; a taker needs the store and so
 * many refusals that no majority is left. Stateless.
 */
public final class Quorum {
    private Quorum() {}

    /** Fresh votes that a lease needs. */
    public static int majority(int witnesses) {
        return (witnesses + 1) / 2 + 1;
    }

    /** Refusals that a taker needs beside its write to the store; n/2 for an even n. */
    public static int requiredRefusals(int witnesses) {
        return witnesses + 1 - majority(witnesses);
    }
}
