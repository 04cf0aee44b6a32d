package lemonrail.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import lemonrail.net.Sockets;

/** Opens sockets to endpoints with the options that all of them have. */
final class UpstreamConnector {

    private final Bootstrap bootstrap;

    /** A connector for channels of this event loop, which gives up a connect after so many milliseconds. */
    UpstreamConnector(EventLoop eventLoop, double connectTimeoutMs) {
        bootstrap = new Bootstrap()
                .group(eventLoop)
                .channelFactory(EndpointSocket::new)
                .option(ChannelOption.ALLOCATOR, Sockets.BUFFERS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Sockets.WRITE_MARKS)
                .option(ChannelOption.RECVBUF_ALLOCATOR, Sockets.readSizes())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(connectTimeoutMs));
    }

    /** Starts to connect; {@code initializer} adds the handlers before the channel is registered. */
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
