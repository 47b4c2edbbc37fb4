package org.coriandercrank.testkit;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * A store and several hosts as real processes on loopback addresses of their own, so that sites of tests that run at
 * the same time do not collide. Not thread safe.
 */
public final class Site implements AutoCloseable {
    private static final String STORE_CLASS = "org.coriandercrank.standin.CrankStore";
    private static final int STORE_PORT = 7000;
    private static final int FIRST_HOST_NUMBER = 2;
    private static final int IP_BLOCKS = 250;

    private final HostAddress storeAddress;
    private final List<SiteHost> hosts = new ArrayList<>();
    private ChildProcess store;

    /** Starts the store; daemons and backend servers are started by the caller. */
    public Site(Path directory, List<HostSpec> specs) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String block = "127." + (1 + random.nextInt(IP_BLOCKS)) + "." + (1 + random.nextInt(IP_BLOCKS)) + ".";
        storeAddress = new HostAddress(block + 1, STORE_PORT);
        for (HostSpec spec : specs) {
            hosts.add(new SiteHost(spec, block + (FIRST_HOST_NUMBER + hosts.size()), directory, storeAddress));
        }
        store = ChildProcess.start("store", directory, STORE_CLASS, List.of("--listen", storeAddress.toString()));
    }

    /** Starts all daemons and backend servers. */
    public void startAll(List<String> daemonFlags, List<String> backendFlags) {
        for (SiteHost host : hosts) {
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

    public List<SiteHost> hosts() {
        return List.copyOf(hosts);
    }

    public SiteHost host(int index) {
        return hosts.get(index);
    }

    /** Cuts two hosts off from each other in both directions. */
    public void partition(SiteHost one, SiteHost other) {
        one.peerProxy().blockSource(other.ip());
        other.peerProxy().blockSource(one.ip());
    }

    /** Holds back all bytes from one host to another, on the connections of both. */
    public void cutOneWay(SiteHost from, SiteHost to) {
        to.peerProxy().blockSource(from.ip(), FaultProxy.Direction.TO_TARGET);
        from.peerProxy().blockSource(to.ip(), FaultProxy.Direction.FROM_TARGET);
    }

    /** Ends all faults of proxies. */
    public void heal() {
        for (SiteHost host : hosts) {
            host.peerProxy().heal();
            host.storeProxy().heal();
        }
    }

    @Override
    public void close() {
        hosts.forEach(SiteHost::close);
        store.close();
    }
}
