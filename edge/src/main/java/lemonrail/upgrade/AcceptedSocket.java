package lemonrail.upgrade;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/** A socket that can tell whether anything waits on it to be read: a close need not cross a request. */
public final class AcceptedSocket extends NioSocketChannel {

    AcceptedSocket(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    /** Whether bytes have come that nobody has read. */
    public boolean hasUnreadBytes() {
        try {
            return isActive() && javaChannel().socket().getInputStream().available() > 0;
        } catch (IOException e) {
            // The connection has broken: nothing on it can be read any more.
            return false;
        }
    }
}
