package lemonrail.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.function.Function;

/**
 * Opens HTTP listeners whose requests are aggregated, and bounds the size of the requests.
 *
 * @param backlog the most connections that wait to be accepted
 * @param maxLineBytes the largest request line
 * @param maxHeadBytes the largest headers
 * @param maxChunkBytes the largest part of a body
 * @param maxBodyBytes the largest body
 */
public record HttpListener(int backlog, int maxLineBytes, int maxHeadBytes, int maxChunkBytes, int maxBodyBytes) {

    /** Listens at an address. Each connection gets a handler of its own, which receives complete requests. */
    public ChannelFuture bind(
            EventLoop loop,
            ByteBufAllocator buffers,
            InetSocketAddress address,
            Function<SocketChannel, ChannelHandler> handlers) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, backlog)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, buffers)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline()
                                .addLast(
                                        new HttpServerCodec(maxLineBytes, maxHeadBytes, maxChunkBytes),
                                        new HttpObjectAggregator(maxBodyBytes),
                                        handlers.apply(accepted));
                    }
                })
                .bind(address);
    }
}
