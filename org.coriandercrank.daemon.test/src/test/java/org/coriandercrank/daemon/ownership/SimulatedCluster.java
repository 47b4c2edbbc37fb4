package org.coriandercrank.daemon.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.TableCodec;

/** Hosts of one keyed service with their network, store and operator in virtual time. Not thread safe. */
final class SimulatedCluster {
    static final ServiceName SERVICE = new ServiceName("desk");

    private final SimulatedTime time = new SimulatedTime();
    private final Trace trace;
    private final Random random;
    private final HeldKeys heldKeys;
    private final SimulatedStore store;
    private final SimulatedNetwork network;
    private final Operator operator;
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private SimulatedStoreClient.Faults storeFaults = SimulatedStoreClient.Faults.NONE;
    private MessageDelays heartbeatDelays = MessageDelays.NONE;

    SimulatedCluster(long seed, boolean traced) {
        trace = new Trace(time, traced);
        random = new Random(seed);
        heldKeys = new HeldKeys(trace);
        store = new SimulatedStore(time, trace, this::written);
        network = new SimulatedNetwork(time, new Random(random.nextLong()), heldKeys);
        operator = new Operator(time, store, trace);
    }

    private void written(String name, byte[] value) {
        if (name.equals(ObjectNames.assignments(SERVICE))) {
            heldKeys.tableWritten(TableCodec.decode(value), store.era());
        }
    }

    SimulatedHost addHost(boolean hasServer) {
        SimulatedHost host = new SimulatedHost(this, hosts.size() + 1, hasServer);
        hosts.add(host);
        host.startDaemon();
        host.startServer(false);
        return host;
    }

    /** Ends all faults. */
    void heal() {
        storeFaults = SimulatedStoreClient.Faults.NONE;
        heartbeatDelays = MessageDelays.NONE;
        network.heal();
        store.setChangesWithheld(false);
        hosts.forEach(SimulatedHost::heal);
        operator.endDrains();
    }

    void setStoreFaults(SimulatedStoreClient.Faults newFaults) {
        storeFaults = newFaults;
    }

    SimulatedStoreClient.Faults storeFaults() {
        return storeFaults;
    }

    void setHeartbeatDelays(MessageDelays newDelays) {
        heartbeatDelays = newDelays;
    }

    MessageDelays heartbeatDelays() {
        return heartbeatDelays;
    }

    SimulatedTime time() {
        return time;
    }

    Trace trace() {
        return trace;
    }

    Random random() {
        return random;
    }

    HeldKeys heldKeys() {
        return heldKeys;
    }

    SimulatedStore store() {
        return store;
    }

    SimulatedNetwork network() {
        return network;
    }

    Operator operator() {
        return operator;
    }

    List<SimulatedHost> hosts() {
        return hosts;
    }
}
