package org.coriandercrank.testkit;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * A host of a {@link LocalCluster} with the processes that run on it now. Not thread safe.
 *
 * <p>Other daemons reach it through {@link #peerProxy()}; its daemon reaches the store through {@link #storeProxy()}.
 */
public final class ClusterHost implements AutoCloseable {
    private static final String DAEMON_CLASS = "org.coriandercrank.daemon.Crankd";
    private static final String BACKEND_CLASS = "org.coriandercrank.standin.CrankBackend";
    private static final int PEER_PORT = 7001;
    private static final int CALLER_PORT = 7002;
    private static final int ADMIN_PORT = 7003;
    private static final int BACKEND_PORT = 7004;

    private final HostSpec spec;
    private final String ip;
    private final Path directory;
    private final FaultProxy peerProxy;
    private final FaultProxy storeProxy;
    private Optional<ChildProcess> daemon = Optional.empty();
    private Optional<ChildProcess> backend = Optional.empty();

    ClusterHost(HostSpec spec, String ip, Path directory, HostAddress store) {
        this.spec = spec;
        this.ip = ip;
        this.directory = directory;
        this.peerProxy = new FaultProxy(new HostAddress(ip, PEER_PORT));
        this.storeProxy = new FaultProxy(store);
    }

    public HostSpec spec() {
        return spec;
    }

    public String ip() {
        return ip;
    }

    /** Where the daemon listens for other daemons, past the proxy. */
    public HostAddress peerAddress() {
        return new HostAddress(ip, PEER_PORT);
    }

    public HostAddress callerAddress() {
        return new HostAddress(ip, CALLER_PORT);
    }

    public HostAddress adminAddress() {
        return new HostAddress(ip, ADMIN_PORT);
    }

    public HostAddress backendAddress() {
        return new HostAddress(ip, BACKEND_PORT);
    }

    public FaultProxy peerProxy() {
        return peerProxy;
    }

    public FaultProxy storeProxy() {
        return storeProxy;
    }

    /** File with one JSON line per execution of the backend server, over all its starts. */
    public Path ledgerFile() {
        return directory.resolve(spec.name() + ".ledger");
    }

    public ChildProcess daemon() {
        return daemon.orElseThrow(() -> new IllegalStateException("no daemon on " + spec.name()));
    }

    public ChildProcess backend() {
        return backend.orElseThrow(() -> new IllegalStateException("no backend server on " + spec.name()));
    }

    public void startDaemon(List<String> extraFlags) {
        List<String> flags = new ArrayList<>(List.of(
                "--host-name", spec.name(),
                "--region", spec.region(),
                "--failure-domain", spec.failureDomain(),
                "--peer-listen", ip + ":" + PEER_PORT,
                "--peer-advertise", peerProxy.address().toString(),
                "--caller-listen", callerAddress().toString(),
                "--admin-listen", adminAddress().toString(),
                "--store", storeProxy.address().toString()));
        flags.addAll(extraFlags);
        daemon = Optional.of(ChildProcess.start(spec.name() + "-daemon", directory, DAEMON_CLASS, flags));
    }

    public void startBackend(List<String> extraFlags) {
        List<String> flags = new ArrayList<>(List.of(
                "--name", spec.name(),
                "--service", spec.service(),
                "--listen", backendAddress().toString(),
                "--daemon", adminAddress().toString(),
                "--ledger-file", ledgerFile().toString()));
        flags.addAll(extraFlags);
        backend = Optional.of(ChildProcess.start(spec.name() + "-backend", directory, BACKEND_CLASS, flags));
    }

    /** Ends daemon and backend server at once, as a loss of the host does. */
    public void kill() {
        daemon.ifPresent(ChildProcess::kill);
        backend.ifPresent(ChildProcess::kill);
    }

    /** Stops daemon and backend server as a pause of the host does. */
    public void freeze() {
        backend().freeze();
        daemon().freeze();
    }

    public void resume() {
        daemon().resume();
        backend().resume();
    }

    @Override
    public void close() {
        daemon.ifPresent(ChildProcess::close);
        backend.ifPresent(ChildProcess::close);
        peerProxy.close();
        storeProxy.close();
    }
}
