package org.coriandercrank.lease;

/**
 * Quorum sizes for n witnesses and the store, which have n + 1 votes in total.
 *
 * <p>A lease needs a majority of the votes. A taker needs its write to the store and so many refusals that the
 * remaining votes are no majority. Stateless.
 */
public final class Quorum {
    private Quorum() {}

    /** Number of valid votes that a lease needs. */
    public static int majority(int witnesses) {
        return (witnesses + 1) / 2 + 1;
    }

    /** Number of refusals that a taker needs in addition to its write to the store; n/2 for an even n. */
    public static int requiredRefusals(int witnesses) {
        return witnesses + 1 - majority(witnesses);
    }
}
