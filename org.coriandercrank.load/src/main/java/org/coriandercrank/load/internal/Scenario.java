package org.coriandercrank.load.internal;

import java.util.List;

/** Workloads that model the deployments of the design page. Immutable. */
enum Scenario {
    /** Lookups of ticket status and job histories by key, with unkeyed claims and payments. */
    AUTHORITY(18),
    /** Lookups of formula cards by key, with unkeyed shade history and saved mixes. */
    TINCTURIA(12);

    private final int slotsPerServer;

    /**
     * Share of one service in the workload. Immutable.
     *
     * @param keyed whether requests have a key
     * @param ratePercent share of the service in all operations
     * @param writePercent share of writes in the operations of the service
     */
    record ServiceShare(String service, boolean keyed, int ratePercent, int writePercent) {}

    Scenario(int slotsPerServer) {
        this.slotsPerServer = slotsPerServer;
    }

    /** Returns the number of slots with which each backend server is to be started; the load does not depend on it. */
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
