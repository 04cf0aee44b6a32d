package lemonrail.upgrade;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listener whose address two processes can share (SO_REUSEPORT), and which can be closed without losing connections.
 * Each listener has its own accept queue, and connections that are in the queue when the listener closes are reset. The
 * queue is therefore emptied and the listener closed in the same event loop task.
 */
public final class SharedListener extends NioServerSocketChannel {

    /** If true, another process can listen at the same address. */
    public static final ChannelOption<Boolean> REUSE_PORT = NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);

    private static final int DEREGISTER_POLL_MS = 1;

    private boolean closing;

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
            return 0;
        }
        accepted.add(new AcceptedSocket(this, socket));
        return 1;
    }

    /**
     * Accepts all connections in the queue, then closes the listener; does nothing if this has been called before or
     * the listener is closed. Called on the event loop.
     */
    public void acceptPendingAndClose() {
        if (closing || !isOpen()) {
            return;
        }
        closing = true;
        // A socket that is registered with a selector is not closed until the next poll, and new connections would
        // enter the queue until then.
        deregister().addListener(deregistered -> acceptAllAndClose());
    }

    private void acceptAllAndClose() {
        ServerSocketChannel socket = javaChannel();
        if (socket.isRegistered()) {
            eventLoop().schedule(this::acceptAllAndClose, DEREGISTER_POLL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        List<Object> accepted = new ArrayList<>();
        try {
            while (doReadMessages(accepted) > 0) {
                continue;
            }
            socket.close();
        } catch (Exception e) {
            pipeline().fireExceptionCaught(e);
        }
        accepted.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
        close();
    }
}
