package lemonrail.exchange;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;

/** A protocol's listener for clients and the connections it has taken in. */
public interface Downstream {

    /** Opens the listener. */
    ChannelFuture listen(InetSocketAddress address);

    /** Sets how many connections may be open at once; where more are, idle ones make room. */
    void bound(int connections);

    /** Goes on for so many milliseconds, but takes no request that might not be answered by then. */
    void endAfter(double leftMs);

    /** Takes in all that wait at the listener, then closes it. */
    void closeListener();

    /** Leaves the address to another process: closes the listener, then lets clients know to connect anew. */
    void leave();

    /** Each answer is the last on its connection, and those that wait for none are let go. */
    void finish();

    /** Empties the connections until {@link #activate}. */
    void drain();

    /** The drain is over. */
    void activate();

    /** Takes in no more, and lets go of the connections that wait for no answer. */
    void close();

    /** Whether no connection is open. */
    boolean isEmpty();
}
