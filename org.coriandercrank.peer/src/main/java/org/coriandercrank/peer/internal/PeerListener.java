package org.coriandercrank.peer.internal;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.scheduling.link.Uplink;

/** Accepts connections from other daemons. Thread safe. */
public final class PeerListener implements AutoCloseable {
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel listenChannel;

    public PeerListener(
            EventLoopGroup group,
            HostAddress listenAddress,
            Supplier<MemberId> self,
            PeerHandlers handlers,
            Uplink uplink,
            MeterRegistry metrics) {
        TrafficMeter meter = new TrafficMeter(metrics);
        AnswerWriteMeter writeMeter = new AnswerWriteMeter(metrics);
        listenChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connections.add(channel);
                        FrameCodec codec = new FrameCodec(meter);
                        channel.pipeline()
                                .addLast(new FrameWriter(uplink, codec, writeMeter))
                                .addLast(codec)
                                .addLast(new InboundConnection(self.get(), handlers));
                    }
                })
                .bind(listenAddress.ip(), listenAddress.port())
                .syncUninterruptibly()
                .channel();
    }

    /** The bound address. */
    public HostAddress address() {
        InetSocketAddress bound = (InetSocketAddress) listenChannel.localAddress();
        return new HostAddress(bound.getAddress().getHostAddress(), bound.getPort());
    }

    @Override
    public void close() {
        listenChannel.close().syncUninterruptibly();
        connections.close().awaitUninterruptibly();
    }
}
