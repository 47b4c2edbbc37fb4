package org.coriandercrank.load.internal;

import java.util.List;

/** The deployments of the design page as workloads. Immutable. */
enum Scenario {
    /** Lookups of ticket status and job histories by key; claims and payments beside them. */
    AUTHORITY(18),
    /** Lookups of formula cards by key; shade history and saved mixes beside them. */
    TINCTURIA(12);

    private final int slotsPerServer;

    /**
     * The share of one service. Immutable.
     *
     * @param ratePercent share of the operations of the scenario
     * @param writePercent share of writes among the operations of the service
     */
    record ServiceShare(String service, boolean keyed, int ratePercent, int writePercent) {}

    Scenario(int slotsPerServer) {
        this.slotsPerServer = slotsPerServer;
    }

    /** Slots of each backend server; the servers are started with them, the load does not depend on them. */
    int slotsPerServer() {
        return slotsPerServer;
    }

    List<ServiceShare> serviceShares() {
        return switch (this) {
            case AUTHORITY ->
                List.of(
                        new ServiceShare("counter-desk", true, 60, 15),
                        new ServiceShare("cashbook", false, 20, 60),
                        new ServiceShare("workbench", false, 20, 30));
            case TINCTURIA ->
                List.of(
                        new ServiceShare("cardfront", true, 70, 10),
                        new ServiceShare("mixledger", false, 15, 60),
                        new ServiceShare("shadebook", false, 15, 5));
        };
    }
}
