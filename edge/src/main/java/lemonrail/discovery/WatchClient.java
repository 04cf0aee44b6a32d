package lemonrail.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import lemonrail.net.Sockets;

/** The calls of one watch, one at a time, each with a time limit, on one connection as long as it lasts. */
public final class WatchClient {

    /** What becomes of a call: one of the two, once. */
    public interface Listener {
        /** An answer has come whole. */
        void answered(int status, byte[] body);

        /** None will; the connection is gone. */
        void failed(Object why);
    }

    private final EventLoop loop;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private Channel channel;
    private InetSocketAddress address;
    private String uri;
    private Future<?> limit;

    /** A link on this loop; a connection must be up in time, and an answer may have so many bytes. */
    public WatchClient(EventLoop loop, int connectMs, int mostBytes, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Sockets.BUFFERS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMs)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline()
                                .addLast(new HttpClientCodec(), new HttpObjectAggregator(mostBytes), new Answers());
                    }
                });
    }

    /** Whether a call is out. */
    public boolean isCalling() {
        return uri != null;
    }

    /** Calls; the answer must be there in time, the connection's set-up included. */
    public void call(InetSocketAddress to, String wanted, int withinMs) {
        if (uri != null) {
            throw new IllegalStateException("a call is out already");
        }
        uri = wanted;
        limit = loop.schedule(() -> fail("no answer in time"), withinMs, TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive() && to.equals(address)) {
            write();
            return;
        }
        drop();
        address = to;
        ChannelFuture connecting = bootstrap.connect(to);
        Channel fresh = connecting.channel();
        channel = fresh;
        connecting.addListener(connected -> {
            if (fresh != channel) {
                fresh.close();
            } else if (connected.isSuccess()) {
                write();
            } else {
                fail(connected.cause());
            }
        });
    }

    /** Ends the connection and the call, if one is out, without a word. */
    public void end() {
        done();
        drop();
    }

    private void write() {
        FullHttpRequest call =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        call.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(call);
    }

    private void fail(Object why) {
        drop();
        if (done()) {
            listener.failed(why);
        }
    }

    private void drop() {
        if (channel != null) {
            Channel dropped = channel;
            channel = null;
            dropped.close();
        }
    }

    /** No call is out from here on; true if one was. */
    private boolean done() {
        boolean called = uri != null;
        uri = null;
        if (limit != null) {
            limit.cancel(false);
            limit = null;
        }
        return called;
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (ctx.channel() != channel || uri == null) {
                ctx.close();
                return;
            }
            if (answer.decoderResult().isFailure()) {
                fail(answer.decoderResult().cause());
                return;
            }
            if (!HttpUtil.isKeepAlive(answer)) {
                drop();
            }
            done();
            listener.answered(answer.status().code(), ByteBufUtil.getBytes(answer.content()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                fail("the connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() == channel) {
                fail(cause);
            }
            ctx.close();
        }
    }
}
