package lemonrail.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.concurrent.TimeUnit;

/**
 * Writes pending bytes to a client's socket as it gets room for them. The system reports a socket as writable only when
 * about a third of its send buffer is free. That buffer can grow to several megabytes, so a client that reads slowly
 * but steadily could not be told from one that has stopped reading. While bytes are pending, this handler therefore
 * tries to write them at regular intervals. Confined to the channel's event loop.
 */
final class PendingWriteFlusher extends ChannelOutboundHandlerAdapter {

    private static final int RETRY_INTERVAL_MS = 1000;

    private boolean retryScheduled;

    @Override
    public void flush(ChannelHandlerContext ctx) {
        ctx.flush();
        scheduleRetryIfPending(ctx.channel());
    }

    private void scheduleRetryIfPending(Channel channel) {
        if (!retryScheduled && hasPendingWrites(channel)) {
            retryScheduled = true;
            channel.eventLoop().schedule(() -> retry(channel), RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static boolean hasPendingWrites(Channel channel) {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending != null && !pending.isEmpty();
    }

    private void retry(Channel channel) {
        retryScheduled = false;
        // A flush would wait until the socket is reported as writable.
        if (hasPendingWrites(channel) && channel instanceof AbstractNioChannel nioChannel) {
            nioChannel.unsafe().forceFlush();
        }
        scheduleRetryIfPending(channel);
    }
}
