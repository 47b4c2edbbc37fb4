package org.coriandercrank.testkit;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * Runs a store and several hosts as real processes on loopback addresses. Each cluster chooses a random block
 * {@code 127.x.y} of addresses, so that tests that run at the same time are unlikely to collide. Not thread safe.
 */
public final class LocalCluster implements AutoCloseable {
    private static final String STORE_CLASS = "org.coriandercrank.standin.CrankStore";
    private static final int STORE_PORT = 7000;
    private static final int FIRST_HOST_OCTET = 2;
    private static final int MAX_IP_OCTET = 250;

    private final HostAddress storeAddress;
    private final List<ClusterHost> hosts = new ArrayList<>();
    private ChildProcess store;

    /** Starts the store only; {@link #startAll} or the hosts start daemons and backend servers. */
    public LocalCluster(Path directory, List<HostSpec> specs) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String block = "127." + (1 + random.nextInt(MAX_IP_OCTET)) + "." + (1 + random.nextInt(MAX_IP_OCTET)) + ".";
        storeAddress = new HostAddress(block + 1, STORE_PORT);
        for (HostSpec spec : specs) {
            hosts.add(new ClusterHost(spec, block + (FIRST_HOST_OCTET + hosts.size()), directory, storeAddress));
        }
        store = ChildProcess.start("store", directory, STORE_CLASS, List.of("--listen", storeAddress.toString()));
    }

    /** Starts all daemons and backend servers. */
    public void startAll(List<String> daemonFlags, List<String> backendFlags) {
        for (ClusterHost host : hosts) {
            host.startDaemon(daemonFlags);
            host.startBackend(backendFlags);
        }
    }

    public HostAddress storeAddress() {
        return storeAddress;
    }

    public ChildProcess store() {
        return store;
    }

    public List<ClusterHost> hosts() {
        return List.copyOf(hosts);
    }

    public ClusterHost host(int index) {
        return hosts.get(index);
    }

    /** Blocks all bytes between two hosts in both directions. */
    public void partition(ClusterHost one, ClusterHost other) {
        one.peerProxy().blockSource(other.ip());
        other.peerProxy().blockSource(one.ip());
    }

    /** Blocks all bytes from one host to another, on connections that either of them opened. */
    public void blockOneWay(ClusterHost from, ClusterHost to) {
        to.peerProxy().blockSource(from.ip(), FaultProxy.Direction.TO_TARGET);
        from.peerProxy().blockSource(to.ip(), FaultProxy.Direction.FROM_TARGET);
    }

    /** Ends all faults of the proxies except silenced connections. */
    public void clearFaults() {
        for (ClusterHost host : hosts) {
            host.peerProxy().clearFaults();
            host.storeProxy().clearFaults();
        }
    }

    @Override
    public void close() {
        hosts.forEach(ClusterHost::close);
        store.close();
    }
}
