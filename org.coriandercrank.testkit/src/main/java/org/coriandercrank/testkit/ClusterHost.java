package org.coriandercrank.testkit;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * A host of a {@link LocalCluster} with the daemon and the backend server that run on it. Not thread safe.
 *
 * <p>Other daemons connect to the daemon of this host through {@link #peerProxy()}. The daemon of this host connects
 * to the store through {@link #storeProxy()}.
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

    /** Address on which the daemon accepts other daemons; connections to it bypass the proxy. */
    public HostAddress peerAddress() {
        return new HostAddress(ip, PEER_PORT);
    }

    /** Address on which the daemon accepts requests of callers. */
    public HostAddress callerAddress() {
        return new HostAddress(ip, CALLER_PORT);
    }

    /** Address of the admin HTTP server of the daemon. */
    public HostAddress adminAddress() {
        return new HostAddress(ip, ADMIN_PORT);
    }

    /** Address on which the backend server accepts requests. */
    public HostAddress backendAddress() {
        return new HostAddress(ip, BACKEND_PORT);
    }

    public FaultProxy peerProxy() {
        return peerProxy;
    }

    public FaultProxy storeProxy() {
        return storeProxy;
    }

    /** File to which the backend server appends a JSON line for each execution; it is kept across restarts. */
    public Path ledgerFile() {
        return directory.resolve(spec.name() + ".ledger");
    }

    /** Returns the daemon started last; fails if none was started. */
    public ChildProcess daemon() {
        return daemon.orElseThrow(() -> new IllegalStateException("no daemon was started on host " + spec.name()));
    }

    /** Returns the backend server started last; fails if none was started. */
    public ChildProcess backend() {
        return backend.orElseThrow(
                () -> new IllegalStateException("no backend server was started on host " + spec.name()));
    }

    /** Starts the daemon with the flags for this host, followed by {@code extraFlags}. */
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

    /** Starts the backend server with the flags for this host, followed by {@code extraFlags}. */
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

    /** Kills the daemon and the backend server, as a crash of the host does. */
    public void kill() {
        daemon.ifPresent(ChildProcess::kill);
        backend.ifPresent(ChildProcess::kill);
    }

    /** Suspends the daemon and the backend server, as a pause of the host does. */
    public void freeze() {
        backend().freeze();
        daemon().freeze();
    }

    /** Lets the suspended daemon and backend server continue. */
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
