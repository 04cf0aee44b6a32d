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
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.function.Function;

/**
 * Opens HTTP listeners that aggregate each request into one message, with bounds on the size of requests.
 *
 * @param backlog the maximum number of connections in the accept queue
 * @param maxLineBytes the maximum size of a request line
 * @param maxHeadBytes the maximum size of all headers of a request
 * @param maxChunkBytes the maximum size of one part of a body
 * @param maxBodyBytes the maximum size of a body
 */
public record HttpListener(int backlog, int maxLineBytes, int maxHeadBytes, int maxChunkBytes, int maxBodyBytes) {

    /**
     * Listens at an address.
     *
     * @param allocator the allocator of the connections' buffers
     * @param handlerFactory creates the handler of each connection, which receives complete requests
     * @return a future that completes when the listener is bound, and fails if it cannot be bound
     */
    public ChannelFuture bind(
            EventLoop loop,
            ByteBufAllocator allocator,
            InetSocketAddress address,
            Function<SocketChannel, ChannelHandler> handlerFactory) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, backlog)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, allocator)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline()
                                .addLast(
                                        new HttpServerCodec(decoderConfig()),
                                        new HttpObjectAggregator(maxBodyBytes),
                                        handlerFactory.apply(accepted));
                    }
                })
                .bind(address);
    }

    private HttpDecoderConfig decoderConfig() {
        return BoundedHttpHeaders.decoderConfig()
                .setMaxInitialLineLength(maxLineBytes)
                .setMaxHeaderSize(maxHeadBytes)
                .setMaxChunkSize(maxChunkBytes);
    }
}
