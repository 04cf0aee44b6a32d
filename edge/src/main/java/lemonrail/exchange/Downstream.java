package lemonrail.exchange;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;

/**
 * The client side of a protocol: one listener and the connections that it has accepted. All methods are called on the
 * event loop of the {@link EventLoopContext} that it was created with.
 */
public interface Downstream {

    /**
     * Binds the listener; called once.
     *
     * @return completes when the listener is bound, and fails with the reason if it cannot be
     */
    ChannelFuture listen(InetSocketAddress address);

    /** Sets how many connections may be open at once. Idle ones are closed to make room for new ones. */
    void setMaxConnections(int connections);

    /** Caps the deadlines of requests read from now on to the given time, in milliseconds from now. */
    void capDeadlines(double remainingMs);

    /** Accepts all connections that wait at the listener, then closes it. Open connections are kept. */
    void closeListener();

    /**
     * Closes the listener so that another process can take over its address, then makes each response the last on its
     * connection.
     */
    void releaseAddress();

    /** Makes each response the last on its connection, and closes connections that wait for no response. */
    void closeAfterResponses();

    /** Closes connections as they become idle, until {@link #stopDraining}. */
    void startDraining();

    /** Ends the drain: connections are kept alive again. */
    void stopDraining();

    /** Closes the listener and the connections that wait for no response. */
    void close();

    /** Returns whether no connection is open. */
    boolean hasNoConnections();
}
