package lemonrail.exchange;

import java.net.InetAddress;
import java.nio.file.Path;

/**
 * A protocol as the assembly sees it: what makes the two sides between which an {@link RequestDispatcher} stands.
 *
 * @param <M> its requests
 * @param <A> its answers
 */
public interface Protocol<M extends ProtocolRequest, A> {

    /** Connections to endpoints, so many at most. */
    Upstream<M, A> upstream(EventLoopContext shard, int mostConnections);

    /** The side of the clients, with so many connections at most. */
    Downstream front(EventLoopContext shard, RequestDispatcher<M, A> exchange, int mostConnections);

    /**
     * Runs made-up requests through parts of its own, so that the code is loaded and compiled before clients
     * come; {@code done} runs when that is over, in whatever way.
     *
     * @param at the host's address on which it may listen meanwhile
     * @param scratch a file name that it may use
     */
    void warmUp(EventLoopContext shard, InetAddress at, Path scratch, Runnable done);

    /** Connections beyond the most of a front that it takes in all the same, to refuse them in good order. */
    int overflow();
}
