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
 * Connections of clients to one address: one request at a time on each; they are kept, and more are opened
 * when all are busy, up to a bound beyond which requests wait. Belongs to its event loop.
 */
public final class ClientPool implements AutoCloseable {

    private static final int MOST_BODY_BYTES = 64 * 1024;
    private static final long MOST_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** Hears what came of one request. */
    public interface Reply {
        /** The request has ended; {@code answer} is null where no whole answer came. */
        void ended(ClientRequest.End end, FullHttpResponse answer);
    }

    /** A request that has been sent, or waits to be. */
    public final class Call {
        private final FullHttpRequest request;
        private final Reply reply;
        private Connection on;
        private boolean again;
        private boolean over;
        private Future<?> patience;

        private Call(FullHttpRequest request, Reply reply) {
            this.request = request;
            this.reply = reply;
        }

        /** Nobody waits for it any more: its connection is closed, and nothing is heard of it. */
        public void abandon() {
            if (!over) {
                finish();
                release();
            }
        }

        private void finish() {
            over = true;
            if (patience != null) {
                patience.cancel(false);
            }
            request.release();
        }

        private void release() {
            if (on != null) {
                on.call = null;
                on.channel.close();
            } else {
                waiting.remove(this);
            }
        }

        private void end(ClientRequest.End end, FullHttpResponse answer) {
            if (!over) {
                finish();
                reply.ended(end, answer);
            }
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int most;
    private final boolean spread;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Deque<Call> waiting = new ArrayDeque<>();
    private int open;
    private int mostOpen;
    private long waited;
    private boolean closed;

    /** Clients with so many connections at most. */
    public ClientPool(EventLoop loop, InetSocketAddress address, int most) {
        this(loop, address, most, false);
    }

    /** The same; where calls are spread, all connections are opened and used in turn. */
    public ClientPool(EventLoop loop, InetSocketAddress address, int most, boolean spread) {
        this.spread = spread;
        this.loop = loop;
        this.address = address;
        this.most = most;
    }

    /** Sends a request; it ends as GIVEN_UP after {@code patienceMs}, counted from now. */
    public Call send(FullHttpRequest request, double patienceMs, Reply reply) {
        Call call = new Call(request, reply);
        wait(call, (long) (patienceMs * 1e6));
        dispatch(call);
        return call;
    }

    private void wait(Call call, long nanos) {
        long dueNanos = System.nanoTime() + nanos;
        call.patience = loop.schedule(
                () -> {
                    long lateNanos = System.nanoTime() - dueNanos;
                    if (call.over) {
                        return;
                    }
                    if (lateNanos > MOST_LATE_NANOS) {
                        // The loop was busy: what came meanwhile has not been read, and is no fault of the sidecar's.
                        wait(call, lateNanos);
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
        Connection kept = !spread ? idle.pollLast() : open < most ? null : idle.pollFirst();
        if (kept != null) {
            kept.begin(call);
        } else if (open < most) {
            open++;
            mostOpen = Math.max(mostOpen, open);
            new Connection(call);
        } else {
            waited++;
            waiting.add(call);
        }
    }

    private void serveWaiting() {
        if (!closed && !waiting.isEmpty() && (open < most || !idle.isEmpty())) {
            dispatch(waiting.poll());
        }
    }

    /** The most connections that were open at once. */
    public int mostOpen() {
        return mostOpen;
    }

    /** Requests that had to wait for a connection: the generator's own bound was met. */
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
        private boolean used;
        /** Something of the present answer has come. */
        private boolean answering;

        Connection(Call first) {
            call = first;
            first.on = this;
            ChannelFuture coming = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel fresh) {
                            fresh.pipeline()
                                    .addLast(
                                            new ChannelInboundHandlerAdapter() {
                                                @Override
                                                public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                                                    answering = true;
                                                    ctx.fireChannelRead(bytes);
                                                }
                                            },
                                            new HttpClientCodec(),
                                            new HttpObjectAggregator(MOST_BODY_BYTES),
                                            Connection.this);
                        }
                    })
                    .connect(address);
            channel = coming.channel();
            channel.closeFuture().addListener(gone -> gone());
            coming.addListener(up -> {
                if (up.isSuccess()) {
                    write();
                } else {
                    Call failed = call;
                    call = null;
                    if (failed != null) {
                        failed.end(ClientRequest.End.UNREACHED, null);
                    }
                }
            });
        }

        void begin(Call next) {
            call = next;
            next.on = this;
            used = true;
            answering = false;
            write();
        }

        private void write() {
            if (call != null) {
                channel.writeAndFlush(call.request.retainedDuplicate());
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            Call answered = call;
            if (answered == null) {
                ctx.close();
                return;
            }
            call = null;
            if (answer.decoderResult().isFailure()) {
                ctx.close();
                answered.end(ClientRequest.End.LOST, null);
                return;
            }
            if (HttpUtil.isKeepAlive(answer) && !closed) {
                idle.addLast(this);
            } else {
                ctx.close();
            }
            int status = answer.status().code();
            answered.end(
                    status == 200
                            ? ClientRequest.End.SERVED
                            : status == 429 || status == 503 ? ClientRequest.End.REFUSED : ClientRequest.End.FAILED,
                    answer);
            serveWaiting();
        }

        private void gone() {
            open--;
            idle.remove(this);
            Call broken = call;
            call = null;
            if (broken != null && !broken.over) {
                if (used && !answering && !broken.again) {
                    // The close may have crossed the request: it is sent once more, on a new connection.
                    broken.again = true;
                    open++;
                    new Connection(broken);
                } else {
                    broken.end(ClientRequest.End.LOST, null);
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
