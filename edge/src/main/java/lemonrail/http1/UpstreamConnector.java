package lemonrail.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import lemonrail.net.Sockets;

/** Opens sockets to endpoints, with the same options for all of them. */
final class UpstreamConnector {

    private final Bootstrap bootstrap;

    /**
     * Creates a connector for channels of an event loop.
     *
     * @param connectTimeoutMs the time after which a connect fails, in milliseconds
     */
    UpstreamConnector(EventLoop eventLoop, double connectTimeoutMs) {
        bootstrap = new Bootstrap()
                .group(eventLoop)
                .channelFactory(EndpointSocket::new)
                .option(ChannelOption.ALLOCATOR, Sockets.BUFFER_ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Sockets.WRITE_BUFFER_WATER_MARKS)
                .option(ChannelOption.RECVBUF_ALLOCATOR, Sockets.newReadBufferAllocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(connectTimeoutMs));
    }

    /**
     * Starts to connect to an address.
     *
     * @param initializer adds the handlers of the channel before the connect starts
     */
    ChannelFuture connect(InetSocketAddress address, Consumer<EndpointSocket> initializer) {
        return bootstrap
                .clone()
                .handler(new ChannelInitializer<EndpointSocket>() {
                    @Override
                    protected void initChannel(EndpointSocket channel) {
                        initializer.accept(channel);
                    }
                })
                .connect(address);
    }
}
