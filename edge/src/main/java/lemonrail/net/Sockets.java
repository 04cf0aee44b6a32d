package lemonrail.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/** Settings shared by all sockets of the process: buffer allocation and buffer sizes. */
public final class Sockets {

    /** Allocates from one small arena, because messages have a few hundred bytes and memory is limited. */
    public static final ByteBufAllocator BUFFER_ALLOCATOR =
            new PooledByteBufAllocator(true, 1, 1, 8192, 4, 0, 0, false);
    /**
     * Pending bytes of one connection: at the high mark, writing to the connection pauses, and at the low mark it
     * resumes.
     */
    public static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARKS = new WriteBufferWaterMark(8 * 1024, 32 * 1024);

    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 8 * 1024;

    private Sockets() {}

    /**
     * Returns an allocator that bounds the size of one read, so that a read does not exceed the part of a body that is
     * buffered.
     */
    public static RecvByteBufAllocator newReadBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }
}
