package org.coriandercrank.system;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.load.CallRecord;
import org.coriandercrank.load.LedgerReader;
import org.coriandercrank.load.LoadReport;
import org.coriandercrank.load.internal.LoadDriver;
import org.coriandercrank.load.internal.LoadPlan;

/** Sends requests of callers in the background while a test injects faults. Not thread safe. */
final class BackgroundTraffic {
    static final int KEY_COUNT = 60;

    private static final int RATE_PER_SECOND = 300;
    private static final int WRITE_PERCENT = 50;
    private static final long SEED = 7;

    /** This deadline exceeds the pauses of a busy machine, so that they do not count as failures of the system. */
    private static final long DEADLINE_MS = 3_000;

    private static final long FINISH_TIMEOUT_SECONDS = 180;

    private final TestCluster cluster;
    private final LoadDriver driver;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CompletableFuture<List<CallRecord>> calls;

    private BackgroundTraffic(TestCluster cluster, List<HostAddress> targets, LoadPlan plan) {
        this.cluster = cluster;
        this.driver = new LoadDriver(group, targets, plan, LoadDriver::routedRequest);
        this.calls = CompletableFuture.supplyAsync(driver::run);
    }

    /**
     * Starts requests to uniformly distributed keys, half of them writes. An operation that failed is retried at most
     * {@code maxRetries} times.
     */
    static BackgroundTraffic start(TestCluster cluster, List<HostAddress> targets, long durationMs, int maxRetries) {
        return start(cluster, targets, durationMs, maxRetries, DEADLINE_MS);
    }

    static BackgroundTraffic start(
            TestCluster cluster, List<HostAddress> targets, long durationMs, int maxRetries, long deadlineMs) {
        return start(cluster, targets, durationMs, maxRetries, deadlineMs, RATE_PER_SECOND, KEY_COUNT);
    }

    static BackgroundTraffic start(
            TestCluster cluster,
            List<HostAddress> targets,
            long durationMs,
            int maxRetries,
            long deadlineMs,
            int ratePerSecond,
            int keys) {
        LoadPlan plan = new LoadPlan(
                TestCluster.SERVICE,
                /* keyed= */ true,
                ratePerSecond,
                durationMs,
                keys,
                /* zipfExponent= */ 0,
                /* hotKeys= */ 0,
                /* hotChangeMs= */ durationMs,
                WRITE_PERCENT,
                /* bodyBytes= */ 0,
                DEADLINE_MS,
                maxRetries,
                SEED);
        return new BackgroundTraffic(cluster, targets, plan);
    }

    /** Returns all calls, or an empty list while calls are still running. */
    List<CallRecord> calls() {
        return calls.getNow(List.of());
    }

    /** Waits for all scheduled calls and their retries, and checks them against the executions of the servers. */
    LoadReport finish() {
        try {
            List<CallRecord> records = calls.get(FINISH_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return LoadReport.of(driver.startedNanos(), records, LedgerReader.read(cluster.ledgerFiles()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (ExecutionException | TimeoutException e) {
            throw new AssertionError("background traffic did not finish", e);
        } finally {
            driver.close();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
