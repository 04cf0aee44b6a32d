package lemonrail.exchange;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;

/**
 * The client side of a protocol: one listener and the connections that it has accepted. All methods are called on the
 * event loop of the {@link EventLoopContext} that the instance was created with.
 */
public interface Downstream {

    /**
     * Binds the listener; called once.
     *
     * @return a future that completes when the listener is bound, and fails if it cannot be bound
     */
    ChannelFuture listen(InetSocketAddress address);

    /**
     * Sets the maximum number of open connections. At the maximum, idle connections are closed to make room for new
     * ones.
     */
    void setMaxConnections(int connections);

    /**
     * Limits the deadlines of all requests read from now on.
     *
     * @param remainingMs the latest deadline, in milliseconds from now
     */
    void capDeadlines(double remainingMs);

    /** Accepts all connections in the listener's queue, then closes the listener. Open connections stay open. */
    void closeListener();

    /**
     * Closes the listener so that another process can take over its address, then closes each connection after its next
     * response.
     */
    void releaseAddress();

    /** Closes connections on which no response is pending, and every other connection after its next response. */
    void closeAfterResponses();

    /** Starts a drain: closes connections as they become idle, until {@link #stopDraining} is called. */
    void startDraining();

    /** Ends the drain: connections are kept alive again. */
    void stopDraining();

    /** Closes the listener and all connections on which no response is pending. */
    void close();

    /** Returns whether no connection is open. */
    boolean hasNoConnections();
}
