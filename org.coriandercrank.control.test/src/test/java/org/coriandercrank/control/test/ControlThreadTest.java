package org.coriandercrank.control.test;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.lang.reflect.Proxy;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.control.ControlDependencies;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.control.ControlPlane;
import org.coriandercrank.control.HostIdentity;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.SystemTimerService;
import org.junit.jupiter.api.Test;

/** Guards against code that works only in the virtual time of the other tests: uses the real thread and timers. */
class ControlThreadTest {
    private static final HostAddress ADDRESS = new HostAddress("127.0.0.1", 1);

    @Test
    void joinsAndStopsOnItsOwnThread() throws Exception {
        VirtualTime storeTime = new VirtualTime();
        FakeStore store = new FakeStore(storeTime);
        HostIdentity identity =
                HostIdentity.ofAddress(ADDRESS, ADDRESS, ADDRESS, new Region("r"), new FailureDomain("d"));
        try (SystemTimerService timers = new SystemTimerService()) {
            DecisionLog log = new DecisionLog(0, MonotonicClock.SYSTEM);
            ControlDependencies dependencies = new ControlDependencies(
                    synchronizedStore(store), null, new PeerHandlers(), timers, log, new SimpleMeterRegistry());
            timers.every(1, Runnable::run, () -> {
                synchronized (store) {
                    storeTime.runFor(1);
                }
            });
            try (ControlPlane control = ControlPlane.create(ControlOptions.DEFAULTS, identity, dependencies)) {
                control.start();
                control.backendAnnounced(FakeCluster.backend(1));
                control.routing()
                        .await(snapshot -> snapshot.member(control.self()).isPresent(), 5_000)
                        .get(6, TimeUnit.SECONDS);
                assertThat(control.lease().isValid(System.nanoTime())).isTrue();
                control.leave().get(5, TimeUnit.SECONDS);
                control.sealSelf().get(5, TimeUnit.SECONDS);
                assertThat(control.lease().isValid(System.nanoTime())).isFalse();
            }
        }
    }

    private static ObjectStore synchronizedStore(FakeStore store) {
        return (ObjectStore) Proxy.newProxyInstance(
                ObjectStore.class.getClassLoader(), new Class<?>[] {ObjectStore.class}, (proxy, method, arguments) -> {
                    synchronized (store) {
                        return method.invoke(store, arguments);
                    }
                });
    }
}
