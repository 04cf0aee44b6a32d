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
 * A listener whose address two processes can share (SO_REUSEPORT), and which can close without losing connections.
 * Each listener has an accept queue of its own; connections in it when the listener closes are reset, so the same task
 * empties and closes it.
 */
public final class SharedListener extends NioServerSocketChannel {

    /** Set to true to let another process listen at the same address. */
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

    /** Accepts all connections in the queue, then closes; does nothing if that has begun. Called on the event loop. */
    public void acceptPendingAndClose() {
        if (closing || !isOpen()) {
            return;
        }
        closing = true;
        // A socket that is registered with a selector closes only at its next poll, and the queue fills meanwhile.
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
