package org.coriandercrank.daemon.ownership;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.coriandercrank.control.HostIdentity;
import org.coriandercrank.daemon.ServerIncarnation;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;

/** A host with a daemon, and with a backend server or none; both can end and start again. Not thread safe. */
final class SimulatedHost {
    private static final int FAILURE_DOMAINS = 3;

    private final SimulatedCluster cluster;
    private final int number;
    private final boolean hasServer;
    private final HostIdentity identity;
    private Optional<SimulatedDaemon> daemon = Optional.empty();
    private Optional<SimulatedServer> server = Optional.empty();
    private String serverId;
    private boolean frozen;
    private boolean cutOffFromStore;
    private boolean storeAnswersCut;
    private boolean serverEndsAtResume;

    SimulatedHost(SimulatedCluster cluster, int number, boolean hasServer) {
        this.cluster = cluster;
        this.number = number;
        this.hasServer = hasServer;
        HostAddress address = new HostAddress("127.0.0.1", number);
        identity = new HostIdentity(
                "h" + number,
                address,
                address,
                address,
                new Region("region"),
                new FailureDomain("domain" + number % FAILURE_DOMAINS));
        serverId = "s" + number;
    }

    HostAddress address() {
        return identity.peerAddress();
    }

    String serverId() {
        return serverId;
    }

    boolean hasServer() {
        return hasServer;
    }

    boolean isFrozen() {
        return frozen;
    }

    void setCutOffFromStore(boolean newCutOff) {
        cutOffFromStore = newCutOff;
    }

    /** Sets whether answers of the store are lost while requests reach it. */
    void setStoreAnswersCut(boolean newCut) {
        storeAnswersCut = newCut;
    }

    private SimulatedStoreClient.Link storeLink() {
        if (cutOffFromStore) {
            return SimulatedStoreClient.Link.CUT;
        }
        return storeAnswersCut ? SimulatedStoreClient.Link.REQUESTS_ONLY : SimulatedStoreClient.Link.OPEN;
    }

    void startDaemon() {
        if (daemon.isPresent() || frozen) {
            return;
        }
        SimulatedProcess process = new SimulatedProcess(cluster.time(), "daemon " + number, cluster.trace());
        SimulatedStoreClient client = new SimulatedStoreClient(
                cluster.time(),
                process,
                cluster.store(),
                this::storeLink,
                cluster::storeFaults,
                new Random(cluster.random().nextLong()));
        SimulatedDaemon started = new SimulatedDaemon(
                process,
                identity,
                SimulatedCluster.SERVICE,
                client,
                cluster.network(),
                new Random(cluster.random().nextLong()),
                cluster.trace(),
                () -> server.filter(s -> !frozen).map(s -> s.incarnation().id()));
        daemon = Optional.of(started);
        long[] newestVersion = {0};
        started.routing().subscribe(snapshot -> checkConfiguration(snapshot, newestVersion));
        process.run(started::start);
    }

    private void checkConfiguration(RoutingSnapshot snapshot, long[] newestVersion) {
        long version = Operator.version(snapshot.configuration());
        if (version < newestVersion[0]) {
            cluster.trace()
                    .violation("CONFIG", "daemon " + number + ": version " + newestVersion[0] + ", then " + version);
        }
        newestVersion[0] = Math.max(newestVersion[0], version);
    }

    void killDaemon() {
        if (!frozen) {
            daemon.ifPresent(d -> d.process().kill());
            daemon = Optional.empty();
        }
    }

    void startServer(boolean underNewId) {
        if (!hasServer || server.isPresent() || frozen) {
            return;
        }
        if (underNewId) {
            serverId = "s" + number + "n" + cluster.time().nowMs();
        }
        SimulatedServer started = new SimulatedServer(
                cluster.time(),
                new ServerIncarnation(serverId, cluster.time().nowMs()),
                cluster.heldKeys(),
                cluster.trace(),
                new Random(cluster.random().nextLong()),
                heartbeat -> daemon.ifPresent(d -> d.process().run(() -> d.onHeartbeat(heartbeat))),
                cluster::heartbeatDelays);
        server = Optional.of(started);
        started.start();
    }

    /** Sends the first heartbeat of an incarnation, which need not exist, to the daemon of this host. */
    void sendHeartbeatOf(ServerIncarnation sender) {
        SimulatedServer.Heartbeat heartbeat =
                new SimulatedServer.Heartbeat(sender, 1, false, List.of(), List.of(), renewal -> {});
        daemon.ifPresent(d -> d.process().run(() -> d.onHeartbeat(heartbeat)));
    }

    /** Whether the server of this host holds a key. */
    boolean holdsKeys() {
        return server.filter(s -> IntStream.range(0, HeldKeys.COUNT).anyMatch(s::holds))
                .isPresent();
    }

    void announceLeaving() {
        server.ifPresent(s -> s.setLeaving(true));
    }

    /** Makes the server, which has announced that it is leaving, stay. */
    void withdrawLeaving() {
        server.ifPresent(s -> s.setLeaving(false));
    }

    void crashServer() {
        if (!frozen) {
            server.ifPresent(s -> s.process().kill());
            server = Optional.empty();
        }
    }

    /** Ends the server, a frozen one when it resumes: it has said that it leaves and does not stay. */
    void endServer() {
        serverEndsAtResume = frozen;
        crashServer();
    }

    /** Ends daemon and server, frozen or not. */
    void losePower() {
        frozen = false;
        serverEndsAtResume = false;
        killDaemon();
        crashServer();
    }

    /** Stops daemon and server while time passes. */
    void freeze() {
        frozen = true;
        daemon.ifPresent(d -> d.process().suspend());
        server.ifPresent(s -> s.process().suspend());
    }

    /** Stops the daemon while its server goes on. */
    void pauseDaemon() {
        daemon.ifPresent(d -> d.process().suspend());
    }

    void resumeDaemon() {
        if (!frozen) {
            daemon.ifPresent(d -> d.process().resume());
        }
    }

    void resume() {
        if (frozen) {
            frozen = false;
            daemon.ifPresent(d -> d.process().resume());
            server.ifPresent(s -> s.process().resume());
            if (serverEndsAtResume) {
                serverEndsAtResume = false;
                crashServer();
            }
        }
    }

    /** Ends all faults of this host. */
    void heal() {
        resume();
        resumeDaemon();
        cutOffFromStore = false;
        storeAnswersCut = false;
        startDaemon();
        startServer(false);
    }

    @Override
    public String toString() {
        return "host " + number;
    }
}
