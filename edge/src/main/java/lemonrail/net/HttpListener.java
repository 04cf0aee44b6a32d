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
 * How to listen for HTTP calls that are handled whole, and how large they may be.
 *
 * @param backlog connections that may wait to be accepted
 * @param mostLineBytes of a call's first line
 * @param mostHeadBytes of its headers
 * @param mostChunkBytes of a part of its body
 * @param mostBodyBytes of its body
 */
public record HttpListener(int backlog, int mostLineBytes, int mostHeadBytes, int mostChunkBytes, int mostBodyBytes) {

    /** Listens at an address; each connection gets a handler of its own, which is given whole calls. */
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
                                        new HttpServerCodec(mostLineBytes, mostHeadBytes, mostChunkBytes),
                                        new HttpObjectAggregator(mostBodyBytes),
                                        handlers.apply(accepted));
                    }
                })
                .bind(address);
    }
}
