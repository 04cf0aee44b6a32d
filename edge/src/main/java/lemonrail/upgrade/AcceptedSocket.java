package lemonrail.upgrade;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * A client connection that reports whether it has unread bytes, so that it is not closed while a request is waiting in
 * it.
 */
public final class AcceptedSocket extends NioSocketChannel {

    AcceptedSocket(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    /** Returns whether the socket's receive buffer contains bytes; false if the connection is closed or has failed. */
    public boolean hasUnreadBytes() {
        try {
            return isActive() && javaChannel().socket().getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }
}
