package lemonrail.exchange;

import lemonrail.streaming.BodyPipe;

/**
 * Where the final answer to a request goes; exactly one of these is called, once.
 *
 * @param <A> the protocol's answers
 */
public interface ResponseSink<A> {

    /** An endpoint has served the request. */
    void served(A answer);

    /** A large answer has begun, and its body comes through the pipe; no other answer follows. */
    void streaming(A beginning, BodyPipe body);

    /** An endpoint has turned the request away for what it is; no other would take it. */
    void turnedAway(A answer);

    /** The request is given up and has had no effect; a repeat is welcome after this time, 0 for any. */
    void refused(double coolDownMs);

    /** The request is given up, and nothing is said of its effect. */
    void failed();
}
