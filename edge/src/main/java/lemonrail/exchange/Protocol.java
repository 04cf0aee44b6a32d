package lemonrail.exchange;

import java.net.InetAddress;
import java.nio.file.Path;

/**
 * A protocol as the assembly sees it: a factory for the two sides that a {@link RequestDispatcher} connects. All
 * methods but {@link #overflowConnections} are called on the event loop of their context.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's responses
 */
public interface Protocol<M extends ProtocolRequest, A> {

    /** Creates the endpoint side, with at most the given number of connections. */
    Upstream<M, A> createUpstream(EventLoopContext context, int maxConnections);

    /** Creates the client side, with at most the given number of connections. */
    Downstream createDownstream(EventLoopContext context, RequestDispatcher<M, A> dispatcher, int maxConnections);

    /**
     * Runs synthetic requests through parts of its own, so that the code is loaded and compiled before clients connect.
     *
     * @param listenAddress the host's address on which it may listen meanwhile
     * @param scratchFile a file that it may create
     * @param onDone runs on the event loop when the warm-up has ended, whether or not it succeeded
     */
    void warmUp(EventLoopContext context, InetAddress listenAddress, Path scratchFile, Runnable onDone);

    /** Returns how many connections beyond its maximum a downstream accepts in order to reject their requests. */
    int overflowConnections();
}
