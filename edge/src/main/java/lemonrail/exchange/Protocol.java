package lemonrail.exchange;

import java.net.InetAddress;
import java.nio.file.Path;

/**
 * A protocol: a factory for the client side and the endpoint side that a {@link RequestDispatcher} connects. All
 * methods except {@link #overflowConnections} are called on the event loop of their context.
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
     * Sends synthetic requests through a separate set of the protocol's components, so that the code is loaded and
     * compiled before clients connect.
     *
     * @param listenAddress the local address on which the warm-up may open listeners while it runs
     * @param scratchFile a file that the warm-up may create
     * @param onDone runs on the event loop when the warm-up has ended, whether or not it succeeded
     */
    void warmUp(EventLoopContext context, InetAddress listenAddress, Path scratchFile, Runnable onDone);

    /** Returns how many connections above its maximum a downstream accepts in order to reject their requests. */
    int overflowConnections();
}
