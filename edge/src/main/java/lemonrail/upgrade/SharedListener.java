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
 * A listener whose address two processes can hold at once (SO_REUSEPORT), and which can leave it without a
 * loss. Each listener has a queue of its own, and what waits in it when it closes is reset, so it is emptied
 * by the very task that closes it.
 */
public final class SharedListener extends NioServerSocketChannel {

    /** Lets another process listen at the same address. */
    public static final ChannelOption<Boolean> REUSE_PORT = NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);

    private static final int RETRY_MS = 1;

    private boolean leaving;

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel fresh = javaChannel().accept();
        if (fresh == null) {
            return 0;
        }
        accepted.add(new AcceptedSocket(this, fresh));
        return 1;
    }

    /** Takes in all that wait, then closes at once. */
    public void acceptPendingAndClose() {
        if (leaving || !isOpen()) {
            return;
        }
        leaving = true;
        // While a selector knows the socket, a close waits for its next round, and the queue goes on filling.
        deregister().addListener(gone -> closeEmptied());
    }

    private void closeEmptied() {
        ServerSocketChannel socket = javaChannel();
        if (socket.isRegistered()) {
            eventLoop().schedule(this::closeEmptied, RETRY_MS, TimeUnit.MILLISECONDS);
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
