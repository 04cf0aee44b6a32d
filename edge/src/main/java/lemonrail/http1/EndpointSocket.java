package lemonrail.http1;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket to an endpoint that can check, just before its reuse, whether anything has arrived on it. */
final class EndpointSocket extends NioSocketChannel {

    /** Returns whether it is open and neither a byte nor the end of the stream has arrived. A byte found is lost. */
    boolean isSilent() {
        try {
            return isActive() && javaChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            // The connection has broken, of which its handlers are notified too.
            return false;
        }
    }
}
