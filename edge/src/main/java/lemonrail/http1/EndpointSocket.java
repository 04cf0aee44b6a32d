package lemonrail.http1;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket to an endpoint that can check immediately before its reuse whether anything has arrived on it. */
final class EndpointSocket extends NioSocketChannel {

    /**
     * Returns whether the socket is open and neither a byte nor the end of the stream has arrived. If a byte has
     * arrived, it is consumed and lost.
     */
    boolean hasNoInput() {
        try {
            return isActive() && javaChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            // The connection has failed; its handlers are notified as well.
            return false;
        }
    }
}
