package org.coriandercrank.daemon.ownership;

/** Kinds of faults that a schedule has. */
enum FaultMix {
    /** The store returns from an older copy of itself, and nothing else happens. */
    DRILLS(true, false, false),
    DRILLS_AND_RESTARTS(true, true, false),
    /** Faults of hosts, network and store, but the store loses nothing. */
    NO_DRILLS(false, true, true),
    ALL(true, true, true),
    /** Also late heartbeats, answers and writes, and daemons that pause without their servers. */
    LATE_MESSAGES(false, true, true),
    ALL_AND_LATE_MESSAGES(true, true, true),
    /** More faults at once, and those of {@link HarderFaults}. */
    HARDER_NO_DRILLS(false, true, true),
    HARDER_ALL(true, true, true),
    HARDER_ALL_AND_LATE_MESSAGES(true, true, true);

    private final boolean drills;
    private final boolean restarts;
    private final boolean others;

    FaultMix(boolean drills, boolean restarts, boolean others) {
        this.drills = drills;
        this.restarts = restarts;
        this.others = others;
    }

    /** Whether the store returns from older copies of itself. */
    boolean hasDrills() {
        return drills;
    }

    /** Whether daemons are killed and start again. */
    boolean hasRestarts() {
        return restarts;
    }

    /** Whether messages between servers and daemons and writes are late, and daemons pause without their servers. */
    boolean hasLateMessages() {
        return this == LATE_MESSAGES || this == ALL_AND_LATE_MESSAGES || this == HARDER_ALL_AND_LATE_MESSAGES;
    }

    boolean hasOthers() {
        return others;
    }

    /** Whether more faults happen at once, and {@link HarderFaults} too. */
    boolean hasHarder() {
        return this == HARDER_NO_DRILLS || this == HARDER_ALL || this == HARDER_ALL_AND_LATE_MESSAGES;
    }
}
