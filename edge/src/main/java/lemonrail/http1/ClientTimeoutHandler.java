package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import lemonrail.time.Clock;
import lemonrail.upgrade.AcceptedSocket;

/**
 * Stands before the decoder on a client's connection: bounds the time that it may stand open with no whole
 * request, and what is read of it once it has nothing more to say. A body may take as long as it needs at a
 * slow line's pace; time in which the sidecar itself does not read counts for nothing.
 */
final class ClientTimeoutHandler extends ChannelInboundHandlerAdapter {

    /** Fired when a request has begun and has not become whole in time. */
    static final Object LATE = new Object();
    /** Fired when more has come behind the requests in hand than is kept for later: nothing more is heard. */
    static final Object FLOOD = new Object();

    /** A head must be whole so long after its first byte, the first one so long after the connect. */
    private static final int READ_MS = 2500;
    /** The time that a body has in any case, and the least pace of one that takes longer. */
    private static final int BODY_MS = 500;

    private static final int LEAST_BYTES_PER_MS = 32;
    /** Between requests a connection is closed after this time. */
    private static final int IDLE_MS = 5000;
    /** A client that takes nothing of its answers for so long does not want them. */
    private static final int STALL_MS = 10_000;
    /** What a client still sends when it has its last answer is read, so that no reset destroys that. */
    private static final int LINGER_MS = 300;

    private static final int MOST_LINGER_MS = 10_000;
    private static final int MOST_LINGERING_BYTES = 256 * 1024;
    /** What is kept of what comes while as many requests as may be are in hand. */
    private static final int MOST_WAITING_BYTES = 16 * 1024;
    /** Between two reads of one who has sent more than that: enough to notice soon that it has gone. */
    private static final int THROTTLED_READ_MS = 1;

    /** What crosses the end of a time limit is read within this time. */
    private static final int CROSSING_MS = 1;

    private final AcceptedSocket channel;
    private final Clock clock;
    private Future<?> limit;
    private boolean begun;
    private boolean waiting;
    private boolean discarding;
    /** As many requests as may be are in hand: what comes now waits here. */
    private boolean full;

    private ByteBuf held;
    /** The last answer is written. */
    private boolean lastAnswerWritten;
    /** More than is dropped came while answers were owed: until these are written it is read at a pace. */
    private boolean throttled;
    /** A time limit has given way once to what came in that very instant. */
    private boolean crossingRead;

    private long discardedBytes;
    private long mostDiscardedBytes = MOST_LINGERING_BYTES;
    private int mostLingerMs = LINGER_MS;
    /** By when the request must be whole, but for what its body's pace adds. */
    private double dueAt;

    private boolean inBody;
    private long bodyBytes;
    private double pausedAt = -1;
    /** When something last came. */
    private double lastReadAt;

    ClientTimeoutHandler(AcceptedSocket channel, Clock clock) {
        this.channel = channel;
        this.clock = clock;
        lastReadAt = clock.now();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        awaitRequest(ctx);
        ctx.fireChannelActive();
    }

    private void awaitRequest(ChannelHandlerContext ctx) {
        inBody = false;
        bodyBytes = 0;
        pausedAt = -1;
        crossingRead = false;
        dueAt = clock.now() + READ_MS;
        await(READ_MS, () -> checkRequest(ctx));
    }

    private void checkRequest(ChannelHandlerContext ctx) {
        double left = dueAt + (inBody ? bodyBytes / LEAST_BYTES_PER_MS : 0) - clock.now();
        if (pausedAt >= 0) {
            await(BODY_MS, () -> checkRequest(ctx));
        } else if (left > 0) {
            await((int) Math.ceil(left), () -> checkRequest(ctx));
        } else if (isCrossed()) {
            await(CROSSING_MS, () -> checkRequest(ctx));
        } else if (begun && !discarding) {
            ctx.fireUserEventTriggered(LATE);
        } else {
            channel.close();
        }
    }

    /** Whether something has come in time that is not read yet; who trickles gets this once. */
    private boolean isCrossed() {
        boolean crossed = !crossingRead && channel.hasUnreadBytes();
        crossingRead = true;
        return crossed;
    }

    /** Closes the connection, unless a request crosses that. */
    private void closeIdle() {
        if (isCrossed()) {
            await(CROSSING_MS, this::closeIdle);
        } else {
            channel.close();
        }
    }

    private void await(int ms, Runnable then) {
        stopClock();
        limit = channel.eventLoop().schedule(then, ms, TimeUnit.MILLISECONDS);
    }

    private void stopClock() {
        if (limit != null) {
            limit.cancel(false);
            limit = null;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        int size = ((ByteBuf) bytes).readableBytes();
        lastReadAt = clock.now();
        if (discarding) {
            discardedBytes += size;
            ((ByteBuf) bytes).release();
            if (discardedBytes > mostDiscardedBytes) {
                throttle();
            }
            return;
        }
        if (full) {
            keep(ctx, (ByteBuf) bytes);
            return;
        }
        hear(ctx, (ByteBuf) bytes);
    }

    private void throttle() {
        if (lastAnswerWritten) {
            channel.close();
        } else {
            // Its end stands behind what it has sent, and is heard only once all that is read.
            throttled = true;
            channel.config().setAutoRead(false);
            channel.eventLoop().schedule(this::readOn, THROTTLED_READ_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void readOn() {
        if (channel.isActive()) {
            channel.read();
        }
    }

    private void keep(ChannelHandlerContext ctx, ByteBuf bytes) {
        held = held == null ? Unpooled.buffer(bytes.readableBytes(), Integer.MAX_VALUE) : held;
        held.writeBytes(bytes);
        bytes.release();
        if (held.readableBytes() > MOST_WAITING_BYTES) {
            discardInput();
            ctx.fireUserEventTriggered(FLOOD);
        }
    }

    private void hear(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (!begun) {
            begun = true;
            if (waiting) {
                waiting = false;
                awaitRequest(ctx);
            }
        }
        bodyBytes += inBody ? bytes.readableBytes() : 0;
        ctx.fireChannelRead(bytes);
    }

    /** A head is whole, and its body is still to come. */
    void headRead() {
        inBody = true;
        bodyBytes = 0;
        dueAt = Math.max(dueAt, clock.now() + BODY_MS);
    }

    /** The sidecar stops or goes on reading a body: meanwhile its client can do nothing. */
    void reading(boolean on) {
        if (on && pausedAt >= 0) {
            dueAt += clock.now() - pausedAt;
            pausedAt = -1;
        } else if (!on && pausedAt < 0) {
            pausedAt = clock.now();
        }
    }

    /**
     * Whether as many requests as may be are in hand. The connection is read on, so that a client that goes
     * is noticed, but what comes waits until there is room, as long as that is little.
     */
    void full(boolean on) {
        full = on;
        if (!full && held != null) {
            ByteBuf bytes = held;
            held = null;
            ChannelHandlerContext ctx = channel.pipeline().context(this);
            hear(ctx, bytes);
            ctx.fireChannelReadComplete();
        }
    }

    /** Whether what comes is read as it comes. */
    boolean takes() {
        return !throttled;
    }

    boolean isDiscarding() {
        return discarding;
    }

    /** Whether the last answer is written. */
    boolean hasWrittenLastAnswer() {
        return lastAnswerWritten;
    }

    private void dropHeld() {
        if (held != null) {
            held.release();
            held = null;
        }
    }

    /** A request is whole: until it is answered the connection may take its time. */
    void requestTaken() {
        begun = false;
        waiting = false;
        inBody = false;
        stopClock();
    }

    /** When something last came, or the connection itself. */
    double lastReadAt() {
        return lastReadAt;
    }

    /** Whether a part of a request has come. */
    boolean isReading() {
        return begun;
    }

    /** All that was asked is answered, but not written yet: it has time while the client takes some. */
    void answering() {
        awaitTaken(Long.MIN_VALUE);
    }

    /** All that was asked is answered, and that is written. */
    void answered() {
        if (!discarding && channel.isActive()) {
            waiting = !begun;
            if (begun && inBody) {
                dueAt = Math.max(dueAt, clock.now() + BODY_MS);
                checkRequest(channel.pipeline().context(this));
            } else if (begun) {
                awaitRequest(channel.pipeline().context(this));
            } else {
                crossingRead = false;
                await(IDLE_MS, this::closeIdle);
            }
        }
    }

    /** Nothing that comes from now on is listened to. */
    void discardInput() {
        discarding = true;
        dropHeld();
    }

    /** The rest of a body that its request no longer needs may still come before the connection is cut. */
    void allowRestOfBody() {
        mostDiscardedBytes = ResponseReader.MOST_BODY_BYTES;
        mostLingerMs = MOST_LINGER_MS;
    }

    /** Ends the connection once its last answer is written, in a way that lets that answer arrive. */
    void endAfter(ChannelFuture lastAnswer) {
        discardInput();
        channel.config().setAutoRead(!throttled);
        awaitTaken(Long.MIN_VALUE);
        lastAnswer.addListener(written -> {
            lastAnswerWritten = true;
            if (written.isSuccess()) {
                throttled = false;
                mostDiscardedBytes = Math.max(mostDiscardedBytes, discardedBytes + MOST_LINGERING_BYTES);
                channel.shutdownOutput();
                channel.config().setAutoRead(true);
                linger(-1, clock.now() + mostLingerMs);
            } else {
                channel.close();
            }
        });
    }

    /** Waits for as long as the client takes something of its answer now and then. */
    private void awaitTaken(long leftBefore) {
        long left = channel.bytesBeforeWritable() - channel.bytesBeforeUnwritable();
        if (left == leftBefore) {
            channel.close();
        } else {
            await(STALL_MS, () -> awaitTaken(left));
        }
    }

    /** Waits for as long as the client goes on sending. */
    private void linger(long discardedBefore, double until) {
        if (discardedBytes == discardedBefore || clock.now() >= until) {
            channel.close();
        } else {
            long now = discardedBytes;
            await(LINGER_MS, () -> linger(now, until));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopClock();
        dropHeld();
        ctx.fireChannelInactive();
    }
}
