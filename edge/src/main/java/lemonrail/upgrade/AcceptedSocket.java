package lemonrail.upgrade;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/** A client's connection that can tell whether it has bytes to read, so that closing it need not lose a request. */
public final class AcceptedSocket extends NioSocketChannel {

    AcceptedSocket(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    /** Returns whether the socket's receive buffer has bytes; false if the connection is closed or broken. */
    public boolean hasUnreadBytes() {
        try {
            return isActive() && javaChannel().socket().getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }
}
