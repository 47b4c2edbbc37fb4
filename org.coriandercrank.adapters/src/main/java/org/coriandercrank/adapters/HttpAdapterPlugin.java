package org.coriandercrank.adapters;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.coriandercrank.kernel.plugin.Plugin;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.time.SystemTimerService;
import org.coriandercrank.kernel.time.TimerService;

/**
 * Registers the store adapter and the backend server adapter named {@code http}. Thread safe.
 *
 * <p>All adapters that one registration opens share its I/O and timer threads. These are JVM daemon threads and run
 * until the process ends.
 */
public final class HttpAdapterPlugin implements Plugin {
    /** Name of both adapters in the {@link PluginRegistry}. */
    public static final String NAME = "http";

    private static final int IO_THREADS = 2;

    @Override
    public void register(PluginRegistry registry) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(
                IO_THREADS, new DefaultThreadFactory("http-adapter", true), NioIoHandler.newFactory());
        TimerService timers = new SystemTimerService();
        registry.register(
                PluginRegistry.Kind.STORE,
                NAME,
                (address, callTimeoutMs) -> new HttpObjectStore(group, address, callTimeoutMs));
        registry.register(PluginRegistry.Kind.BACKEND, NAME, info -> new HttpBackendServer(group, timers, info));
    }
}
