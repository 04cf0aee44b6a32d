package lemonrail.exchange;

import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.discovery.EndpointList;
import lemonrail.streaming.BodyPipe;

/**
 * A protocol's connections to endpoints: connects, writes attempts, and tells what comes of them. It decides
 * nothing and repeats nothing by itself.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's answers
 */
public interface Upstream<M extends ProtocolRequest, A> {

    /** One request on its way to an endpoint. */
    interface Attempt {
        /** Whether its last byte may have been written; until then the request has surely not run. */
        boolean mayHaveRun();

        /** Stops waiting for it, of which nothing more is told; true if it may have run. */
        boolean giveUp();
    }

    /**
     * What becomes of an attempt.
     *
     * @param <A> the protocol's answers
     */
    interface Ending<A> {
        /**
         * Whether the first byte may still be written, to be asked when a connection has come up for it; if
         * not, the attempt ends as one that found no connection.
         */
        boolean mayBegin();

        /** The last byte has been written: from here on the request may run. */
        void written();

        /** A large answer has begun, and its body comes through the pipe; {@link #ended} is still to come. */
        void streaming(A beginning, BodyPipe body);

        /**
         * It is over; told once. The answer is null where none came whole; with {@link AttemptOutcome#IGNORED} it is
         * the word by which an endpoint turned the request away for what it is.
         */
        void ended(AttemptOutcome outcome, A answer);
    }

    /** Takes in where endpoints listen. */
    void update(EndpointList list);

    /** Sends a request once, to be waited for so long in milliseconds. It may end before this returns. */
    Attempt send(String server, M message, double waitMs, Ending<A> ending);

    /** Closes the idle connections to an endpoint. */
    void disconnect(String server);

    /** Sets how many connections may be open at once; where more are, idle ones go first. */
    void bound(int connections);

    /** How many endpoints are known. */
    int size();

    /** Lets go of all idle connections; no more are looked after. */
    void close();
}
