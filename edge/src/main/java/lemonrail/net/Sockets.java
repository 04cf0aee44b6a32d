package lemonrail.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/** What all sockets of the process have in common: their buffers, and how much each may hold. */
public final class Sockets {

    /** One small arena: messages are of a few hundred bytes, and memory is tight. */
    public static final ByteBufAllocator BUFFERS = new PooledByteBufAllocator(true, 1, 1, 8192, 4, 0, 0, false);
    /** Bytes that wait on one connection to be written, at which no more is given to it and again is. */
    public static final WriteBufferWaterMark WRITE_MARKS = new WriteBufferWaterMark(8 * 1024, 32 * 1024);

    private static final int LEAST_READ_BYTES = 512;
    private static final int FIRST_READ_BYTES = 2048;
    private static final int MOST_READ_BYTES = 16 * 1024;

    private Sockets() {}

    /** How much is read at a time: a connection must not bring in more than is held of a body. */
    public static RecvByteBufAllocator readSizes() {
        return new AdaptiveRecvByteBufAllocator(LEAST_READ_BYTES, FIRST_READ_BYTES, MOST_READ_BYTES);
    }
}
