package lemonrail.lab.host;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lemonrail.lab.scenario.Scenario.Link;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A poor link: a TCP relay between two parties that delays, narrows, splits, stalls, cuts or resets what
 * passes, both ways. What is sent keeps its order. Belongs to its event loop.
 */
public final class Relay implements AutoCloseable {

    /** After so long a sender's system repeats a lost segment; RFC 6298 has a longer least time-out. */
    static final double REPEAT_MS = 200;
    /** Bytes on their way each way; beyond it the sender is not read. */
    private static final int MOST_HELD_BYTES = 256 * 1024;

    private static final double NANOS = 1e6;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final UniformRandomProvider random;
    private final Channel listener;
    private final Set<Pair> pairs = new HashSet<>();
    private final Link link;
    private double moreDelayMs;
    private double lossShare;
    private boolean stalled;
    private double resetAfterMs = Double.NaN;

    /** A relay at a free port to this target. */
    public Relay(EventLoop loop, InetSocketAddress target, Link link, UniformRandomProvider random) {
        this.loop = loop;
        this.target = target;
        this.link = link;
        this.random = random;
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        pairs.add(new Pair(fresh));
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** So much more delay each way from now on. */
    public void delay(double moreMs) {
        moreDelayMs = moreMs;
    }

    /** So large a share of the pieces is lost and comes after a repeat. */
    public void lose(double share) {
        lossShare = share;
    }

    /** Nothing passes any more, or all again; what came meanwhile is passed on then. */
    public void stall(boolean now) {
        stalled = now;
        if (!now) {
            List.copyOf(pairs).forEach(Pair::resume);
        }
    }

    /** The connections that are open stay so, and never carry anything again. */
    public void freeze() {
        pairs.forEach(pair -> pair.frozen = true);
    }

    /** Resets all connections. */
    public void reset() {
        List.copyOf(pairs).forEach(Pair::abort);
    }

    /** Ends all connections after what has passed so far, as a cut in the middle does. */
    public void cut() {
        List.copyOf(pairs).forEach(Pair::end);
    }

    /** Each new connection is reset after so long; NaN for never. */
    public void resetNewAfter(double ms) {
        resetAfterMs = ms;
    }

    /** Connections that pass it now. */
    public int size() {
        return pairs.size();
    }

    @Override
    public void close() {
        listener.close();
        reset();
    }

    private final class Pair {
        private final Channel near;
        private final Channel far;
        private final Way out;
        private final Way back;
        private boolean frozen;

        Pair(Channel near) {
            this.near = near;
            out = new Way(this);
            back = new Way(this);
            near.pipeline().addLast(out);
            var coming = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(back)
                    .connect(target);
            far = coming.channel();
            out.to = far;
            back.to = near;
            coming.addListener(up -> {
                if (up.isSuccess()) {
                    near.read();
                    far.read();
                } else {
                    abort();
                }
            });
            if (!Double.isNaN(resetAfterMs)) {
                loop.schedule(this::abort, (long) (resetAfterMs * NANOS), TimeUnit.NANOSECONDS);
            }
        }

        void abort() {
            for (Channel side : List.of(near, far)) {
                if (side.isOpen()) {
                    side.config().setOption(ChannelOption.SO_LINGER, 0);
                    side.close();
                }
            }
            forget();
        }

        private void forget() {
            out.drop();
            back.drop();
            pairs.remove(this);
        }

        void end() {
            near.close();
            far.close();
            forget();
        }

        void resume() {
            out.pump();
            back.pump();
        }
    }

    /** One direction of a connection. */
    private final class Way extends ChannelInboundHandlerAdapter {

        /** Bytes and when they arrive, or the end where there are none. */
        private record Piece(ByteBuf bytes, long atNanos) {}

        private final Pair pair;
        private final Deque<Piece> held = new ArrayDeque<>();
        private Channel to;
        private int heldBytes;
        private long lastNanos = System.nanoTime();
        private boolean armed;

        Way(Pair pair) {
            this.pair = pair;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (pair.frozen) {
                bytes.release();
                return;
            }
            int most = link.pieceBytes() > 0 ? link.pieceBytes() : bytes.readableBytes();
            while (bytes.isReadable()) {
                hold(bytes.readRetainedSlice(Math.min(most, bytes.readableBytes())));
            }
            bytes.release();
            if (heldBytes < MOST_HELD_BYTES) {
                ctx.read();
            }
            pump();
        }

        private void hold(ByteBuf piece) {
            double ms = link.delayMs()
                    + moreDelayMs
                    + link.jitterMs() * random.nextDouble()
                    + (lossShare > 0 && random.nextDouble() < lossShare ? REPEAT_MS : 0);
            long at = Math.max(lastNanos, System.nanoTime() + (long) (ms * NANOS));
            if (link.bytesPerMs() > 0) {
                at += (long) (piece.readableBytes() / link.bytesPerMs() * NANOS);
            }
            lastNanos = at;
            heldBytes += piece.readableBytes();
            held.add(new Piece(piece, at));
        }

        void pump() {
            if (armed || stalled || pair.frozen) {
                return;
            }
            while (!held.isEmpty()) {
                long inNanos = held.peek().atNanos - System.nanoTime();
                if (inNanos > 0) {
                    armed = true;
                    loop.schedule(
                            () -> {
                                armed = false;
                                pump();
                            },
                            inNanos,
                            TimeUnit.NANOSECONDS);
                    return;
                }
                pass(held.poll());
            }
        }

        private void pass(Piece piece) {
            if (piece.bytes == null) {
                pair.end();
                return;
            }
            int size = piece.bytes.readableBytes();
            to.writeAndFlush(piece.bytes);
            boolean waited = heldBytes >= MOST_HELD_BYTES;
            heldBytes -= size;
            if (waited && heldBytes < MOST_HELD_BYTES) {
                (to == pair.far ? pair.near : pair.far).read();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!pair.frozen) {
                // The end travels behind the last bytes.
                held.add(new Piece(
                        null,
                        Math.max(lastNanos, System.nanoTime() + (long) ((link.delayMs() + moreDelayMs) * NANOS))));
                pump();
            }
        }

        /** Nothing more passes. */
        private void drop() {
            held.forEach(piece -> {
                if (piece.bytes != null) {
                    piece.bytes.release();
                }
            });
            held.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A reset on one side is a reset on the other.
            pair.abort();
        }
    }
}
