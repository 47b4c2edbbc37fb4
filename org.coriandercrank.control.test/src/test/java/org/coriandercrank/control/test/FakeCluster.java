package org.coriandercrank.control.test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/** Daemons with a store and a network in virtual time. Not thread safe. */
final class FakeCluster {
    private static final long PLANNER_RENEWAL_MS = 500;
    private static final long JOIN_SPACING_MS = 20;
    private static final long STABILIZATION_MS = 5_000;
    private static final int RESTART_SEED = 1_000;

    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final Map<HostAddress, FakeHost> network = new HashMap<>();
    private final List<FakeHost> hosts = new ArrayList<>();

    /** Starts one daemon per location, of the form {@code region/domain}, and waits until the cluster is stable. */
    FakeCluster(String... locations) {
        schedulePlannerRenewals();
        for (String location : locations) {
            add(location);
            time.runFor(JOIN_SPACING_MS);
        }
        time.runFor(STABILIZATION_MS);
    }

    FakeHost add(String location) {
        FakeHost host = new FakeHost(time, network, store, hosts.size() + 1, location);
        hosts.add(host);
        host.control().start();
        host.control().backendAnnounced(backend(hosts.size()));
        return host;
    }

    /** Kills all daemons at the same time and starts new ones on their addresses. */
    void restartAll(ControlOptions options, String... locations) {
        restartAll(options, JOIN_SPACING_MS, locations);
    }

    void restartAll(ControlOptions options, long joinSpacingMs, String... locations) {
        hosts.forEach(FakeHost::kill);
        hosts.clear();
        for (String location : locations) {
            int number = hosts.size() + 1;
            FakeHost host = new FakeHost(time, network, store, number, location, options, number + RESTART_SEED);
            hosts.add(host);
            host.control().start();
            host.control().backendAnnounced(backend(number));
            time.runFor(joinSpacingMs);
        }
    }

    /** Starts a daemon with other options than the default ones. */
    FakeHost add(String location, ControlOptions options) {
        int number = hosts.size() + 1;
        FakeHost host = new FakeHost(time, network, store, number, location, options, number);
        hosts.add(host);
        host.control().start();
        host.control().backendAnnounced(backend(number));
        return host;
    }

    /** Starts a daemon on the address of a killed one. */
    FakeHost restart(FakeHost killed, ControlOptions options, String location, int seed) {
        int index = hosts.indexOf(killed);
        FakeHost host = new FakeHost(time, network, store, index + 1, location, options, seed);
        hosts.set(index, host);
        host.control().start();
        host.control().backendAnnounced(backend(index + 1));
        return host;
    }

    VirtualTime time() {
        return time;
    }

    FakeStore store() {
        return store;
    }

    List<FakeHost> hosts() {
        return hosts;
    }

    FakeHost host(int index) {
        return hosts.get(index);
    }

    Optional<Member> record(MemberId member) {
        return store.find(ObjectNames.member(member)).map(object -> JsonCodec.decode(object.value(), Member.class));
    }

    boolean isSealed(MemberId member) {
        return record(member).map(Member::state).orElse(MemberState.JOINING) == MemberState.SEALED;
    }

    void seal(MemberId member) {
        record(member)
                .map(current -> current.withState(MemberState.SEALED))
                .ifPresent(ended -> store.putUnconditionally(ObjectNames.member(member), JsonCodec.encode(ended)));
    }

    double sum(String meter) {
        return hosts.stream().mapToDouble(host -> host.count(meter)).sum();
    }

    static BackendInfo backend(int number) {
        return new BackendInfo(
                "backend" + number,
                new ServiceName("cardfront"),
                new HostAddress("127.0.0.1", 9_000),
                12,
                110,
                Set.of());
    }

    /**
     * Writes the planner's object periodically, because its renewals advance the store revision in a running system.
     */
    private void schedulePlannerRenewals() {
        store.putUnconditionally(ObjectNames.PLANNER, new byte[0]);
        time.schedule(PLANNER_RENEWAL_MS, this::schedulePlannerRenewals);
    }
}
