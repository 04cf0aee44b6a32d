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
 * Simulates a poor link as a TCP relay. In both directions it can delay data, limit bandwidth, split data into
 * chunks, stall, and close or reset connections. Data keeps its order. All methods run on the event loop.
 */
public final class Relay implements AutoCloseable {

    /** Extra delay of a lost chunk, as if its sender retransmitted it; RFC 6298 has a longer minimum timeout. */
    static final double RETRANSMIT_MS = 200;
    /** Maximum bytes buffered in each direction; beyond it the relay does not read from the sender. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final UniformRandomProvider random;
    private final Channel listener;
    private final Set<Connection> connections = new HashSet<>();
    private final Link link;
    private double extraDelayMs;
    private double lossShare;
    private boolean stalled;
    private double resetAfterMs = Double.NaN;

    /** Starts a relay on a free port that forwards to {@code target}. */
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
                    protected void initChannel(SocketChannel inbound) {
                        connections.add(new Connection(inbound));
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the address at which the relay listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Adds {@code delayMs} to the link's delay in each direction; replaces an earlier extra delay. */
    public void setExtraDelay(double delayMs) {
        extraDelayMs = delayMs;
    }

    /** Sets the fraction of chunks that are lost and arrive late, after a simulated retransmission. */
    public void setLoss(double share) {
        lossShare = share;
    }

    /** Stops forwarding while keeping connections open, or resumes it with the data that arrived meanwhile. */
    public void setStalled(boolean stall) {
        stalled = stall;
        if (!stall) {
            List.copyOf(connections).forEach(Connection::resume);
        }
    }

    /** Stops forwarding on all present connections for good, without closing them. */
    public void freeze() {
        connections.forEach(connection -> connection.frozen = true);
    }

    /** Resets all connections. */
    public void reset() {
        List.copyOf(connections).forEach(Connection::abort);
    }

    /** Closes all connections at once, so that data not yet forwarded is lost. */
    public void cut() {
        List.copyOf(connections).forEach(Connection::end);
    }

    /** Resets each new connection after {@code afterMs}; NaN stops doing so. */
    public void resetNewAfter(double afterMs) {
        resetAfterMs = afterMs;
    }

    /** Returns the number of open connections. */
    public int size() {
        return connections.size();
    }

    @Override
    public void close() {
        listener.close();
        reset();
    }

    private final class Connection {
        private final Channel inbound;
        private final Channel outbound;
        private final Direction forward;
        private final Direction backward;
        private boolean frozen;

        Connection(Channel inbound) {
            this.inbound = inbound;
            forward = new Direction(this);
            backward = new Direction(this);
            inbound.pipeline().addLast(forward);
            var connecting = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(backward)
                    .connect(target);
            outbound = connecting.channel();
            forward.destination = outbound;
            backward.destination = inbound;
            connecting.addListener(connected -> {
                if (connected.isSuccess()) {
                    inbound.read();
                    outbound.read();
                } else {
                    abort();
                }
            });
            if (!Double.isNaN(resetAfterMs)) {
                loop.schedule(this::abort, (long) (resetAfterMs * NANOS_PER_MS), TimeUnit.NANOSECONDS);
            }
        }

        void abort() {
            for (Channel side : List.of(inbound, outbound)) {
                if (side.isOpen()) {
                    side.config().setOption(ChannelOption.SO_LINGER, 0);
                    side.close();
                }
            }
            discard();
        }

        private void discard() {
            forward.drop();
            backward.drop();
            connections.remove(this);
        }

        void end() {
            inbound.close();
            outbound.close();
            discard();
        }

        void resume() {
            forward.forwardDue();
            backward.forwardDue();
        }
    }

    /** One direction of a connection. */
    private final class Direction extends ChannelInboundHandlerAdapter {

        /** Data and its arrival time; null data stands for the end of the stream. */
        private record Chunk(ByteBuf bytes, long arrivalNanos) {}

        private final Connection connection;
        private final Deque<Chunk> buffer = new ArrayDeque<>();
        private Channel destination;
        private int bufferedBytes;
        private long lastArrivalNanos = System.nanoTime();
        private boolean timerSet;

        Direction(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (connection.frozen) {
                bytes.release();
                return;
            }
            int maxChunkBytes = link.pieceBytes() > 0 ? link.pieceBytes() : bytes.readableBytes();
            while (bytes.isReadable()) {
                enqueue(bytes.readRetainedSlice(Math.min(maxChunkBytes, bytes.readableBytes())));
            }
            bytes.release();
            if (bufferedBytes < MAX_BUFFERED_BYTES) {
                ctx.read();
            }
            forwardDue();
        }

        private void enqueue(ByteBuf chunk) {
            double delayMs = link.delayMs()
                    + extraDelayMs
                    + link.jitterMs() * random.nextDouble()
                    + (lossShare > 0 && random.nextDouble() < lossShare ? RETRANSMIT_MS : 0);
            long arrivalNanos = Math.max(lastArrivalNanos, System.nanoTime() + (long) (delayMs * NANOS_PER_MS));
            if (link.bytesPerMs() > 0) {
                arrivalNanos += (long) (chunk.readableBytes() / link.bytesPerMs() * NANOS_PER_MS);
            }
            lastArrivalNanos = arrivalNanos;
            bufferedBytes += chunk.readableBytes();
            buffer.add(new Chunk(chunk, arrivalNanos));
        }

        void forwardDue() {
            if (timerSet || stalled || connection.frozen) {
                return;
            }
            while (!buffer.isEmpty()) {
                long inNanos = buffer.peek().arrivalNanos - System.nanoTime();
                if (inNanos > 0) {
                    timerSet = true;
                    loop.schedule(
                            () -> {
                                timerSet = false;
                                forwardDue();
                            },
                            inNanos,
                            TimeUnit.NANOSECONDS);
                    return;
                }
                forwardChunk(buffer.poll());
            }
        }

        private void forwardChunk(Chunk chunk) {
            if (chunk.bytes == null) {
                connection.end();
                return;
            }
            int size = chunk.bytes.readableBytes();
            destination.writeAndFlush(chunk.bytes);
            boolean wasFull = bufferedBytes >= MAX_BUFFERED_BYTES;
            bufferedBytes -= size;
            if (wasFull && bufferedBytes < MAX_BUFFERED_BYTES) {
                (destination == connection.outbound ? connection.inbound : connection.outbound).read();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!connection.frozen) {
                // The end of the stream arrives after the last bytes.
                buffer.add(new Chunk(
                        null,
                        Math.max(
                                lastArrivalNanos,
                                System.nanoTime() + (long) ((link.delayMs() + extraDelayMs) * NANOS_PER_MS))));
                forwardDue();
            }
        }

        /** Discards all buffered data. */
        private void drop() {
            buffer.forEach(chunk -> {
                if (chunk.bytes != null) {
                    chunk.bytes.release();
                }
            });
            buffer.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A reset on one side resets the other as well.
            connection.abort();
        }
    }
}
