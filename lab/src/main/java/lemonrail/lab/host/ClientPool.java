package lemonrail.lab.host;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import lemonrail.lab.model.ClientRequest;

/**
 * Pool of HTTP/1.1 client connections to one address, without pipelining. Connections are kept alive. When all are
 * busy, more are opened up to a maximum, beyond which requests wait. All methods run on the event loop.
 */
public final class ClientPool implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final long MAX_TIMER_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** Receives the outcome of one request. */
    public interface Reply {
        /** The request has ended; {@code response} is null if no complete response arrived. */
        void ended(ClientRequest.End end, FullHttpResponse response);
    }

    /** A request that has been sent or waits for a connection. */
    public final class Call {
        private final FullHttpRequest request;
        private final Reply reply;
        private Connection connection;
        private boolean resent;
        private boolean finished;
        private Future<?> timeout;

        private Call(FullHttpRequest request, Reply reply) {
            this.request = request;
            this.reply = reply;
        }

        /** Cancels the request: closes its connection without calling the {@link Reply}. */
        public void abandon() {
            if (!finished) {
                finish();
                release();
            }
        }

        private void finish() {
            finished = true;
            if (timeout != null) {
                timeout.cancel(false);
            }
            request.release();
        }

        private void release() {
            if (connection != null) {
                connection.call = null;
                connection.channel.close();
            } else {
                waiting.remove(this);
            }
        }

        private void end(ClientRequest.End end, FullHttpResponse response) {
            if (!finished) {
                finish();
                reply.ended(end, response);
            }
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int maxConnections;
    private final boolean spread;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Deque<Call> waiting = new ArrayDeque<>();
    private int open;
    private int maxOpen;
    private long waited;
    private boolean closed;

    /** Creates a pool that uses as few connections as possible, {@code maxConnections} at most. */
    public ClientPool(EventLoop loop, InetSocketAddress address, int maxConnections) {
        this(loop, address, maxConnections, false);
    }

    /** Creates a pool; with {@code spread}, all connections are opened and used in turn. */
    public ClientPool(EventLoop loop, InetSocketAddress address, int maxConnections, boolean spread) {
        this.spread = spread;
        this.loop = loop;
        this.address = address;
        this.maxConnections = maxConnections;
    }

    /** Sends a request, which ends as GIVEN_UP if no response arrives within {@code timeoutMs}. */
    public Call send(FullHttpRequest request, double timeoutMs, Reply reply) {
        Call call = new Call(request, reply);
        scheduleTimeout(call, (long) (timeoutMs * 1e6));
        dispatch(call);
        return call;
    }

    private void scheduleTimeout(Call call, long nanos) {
        long dueNanos = System.nanoTime() + nanos;
        call.timeout = loop.schedule(
                () -> {
                    long lateNanos = System.nanoTime() - dueNanos;
                    if (call.finished) {
                        return;
                    }
                    if (lateNanos > MAX_TIMER_LATE_NANOS) {
                        // The event loop was busy and has not read what arrived meanwhile. That is not the sidecar's
                        // fault, so the timeout is extended by the time that the timer was late.
                        scheduleTimeout(call, lateNanos);
                        return;
                    }
                    call.finish();
                    call.release();
                    call.reply.ended(ClientRequest.End.GIVEN_UP, null);
                },
                nanos,
                TimeUnit.NANOSECONDS);
    }

    private void dispatch(Call call) {
        Connection reused = !spread ? idle.pollLast() : open < maxConnections ? null : idle.pollFirst();
        if (reused != null) {
            reused.startCall(call);
        } else if (open < maxConnections) {
            open++;
            maxOpen = Math.max(maxOpen, open);
            new Connection(call);
        } else {
            waited++;
            waiting.add(call);
        }
    }

    private void serveWaiting() {
        if (!closed && !waiting.isEmpty() && (open < maxConnections || !idle.isEmpty())) {
            dispatch(waiting.poll());
        }
    }

    /** Returns the maximum number of connections that were open at once. */
    public int maxOpen() {
        return maxOpen;
    }

    /** Returns the number of requests that waited for a connection because the pool's maximum was reached. */
    public long waited() {
        return waited;
    }

    @Override
    public void close() {
        closed = true;
        while (!idle.isEmpty()) {
            idle.poll().channel.close();
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel channel;
        private Call call;
        private boolean reused;
        /** Whether any bytes of the present response have arrived. */
        private boolean responseStarted;

        Connection(Call firstCall) {
            call = firstCall;
            firstCall.connection = this;
            ChannelFuture connecting = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel newChannel) {
                            newChannel
                                    .pipeline()
                                    .addLast(
                                            new ChannelInboundHandlerAdapter() {
                                                @Override
                                                public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                                                    responseStarted = true;
                                                    ctx.fireChannelRead(bytes);
                                                }
                                            },
                                            new HttpClientCodec(),
                                            new HttpObjectAggregator(MAX_BODY_BYTES),
                                            Connection.this);
                        }
                    })
                    .connect(address);
            channel = connecting.channel();
            channel.closeFuture().addListener(closed -> onClosed());
            connecting.addListener(connected -> {
                if (connected.isSuccess()) {
                    write();
                } else {
                    Call failedCall = call;
                    call = null;
                    if (failedCall != null) {
                        failedCall.end(ClientRequest.End.UNREACHED, null);
                    }
                }
            });
        }

        void startCall(Call nextCall) {
            call = nextCall;
            nextCall.connection = this;
            reused = true;
            responseStarted = false;
            write();
        }

        private void write() {
            if (call != null) {
                channel.writeAndFlush(call.request.retainedDuplicate());
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Call answeredCall = call;
            if (answeredCall == null) {
                ctx.close();
                return;
            }
            call = null;
            if (response.decoderResult().isFailure()) {
                ctx.close();
                answeredCall.end(ClientRequest.End.LOST, null);
                return;
            }
            if (HttpUtil.isKeepAlive(response) && !closed) {
                idle.addLast(this);
            } else {
                ctx.close();
            }
            int status = response.status().code();
            answeredCall.end(
                    status == 200
                            ? ClientRequest.End.SERVED
                            : status == 429 || status == 503 ? ClientRequest.End.REFUSED : ClientRequest.End.FAILED,
                    response);
            serveWaiting();
        }

        private void onClosed() {
            open--;
            idle.remove(this);
            Call interrupted = call;
            call = null;
            if (interrupted != null && !interrupted.finished) {
                if (reused && !responseStarted && !interrupted.resent) {
                    // The server may have closed the idle connection before the request arrived, so it is resent
                    // once on a new connection.
                    interrupted.resent = true;
                    open++;
                    new Connection(interrupted);
                } else {
                    interrupted.end(ClientRequest.End.LOST, null);
                }
            }
            serveWaiting();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
