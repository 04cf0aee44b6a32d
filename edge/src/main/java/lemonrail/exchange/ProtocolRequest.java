package lemonrail.exchange;

import lemonrail.streaming.BodyPipe;

/**
 * A request in its protocol's form, forwarded unchanged from a {@link Downstream} to an {@link Upstream} of the same
 * protocol. A large body is split: the request itself contains the first part, which can be sent again, and a pipe
 * carries the rest, which can be read only once. The {@link RequestDispatcher} closes the pipe when the final response
 * is given.
 */
public interface ProtocolRequest {

    /** Returns about how many bytes of memory the request holds while it is in flight. */
    int bufferedBytes();

    /** Returns the pipe that carries the rest of a large body, or null if the request contains its complete body. */
    BodyPipe remainingBody();

    /** Returns whether part of the body has not been received from the client yet. */
    default boolean isBodyArriving() {
        BodyPipe remainingBody = remainingBody();
        return remainingBody != null && !remainingBody.isComplete();
    }

    /** Returns whether the request can still be sent from its first byte. */
    default boolean isReplayable() {
        BodyPipe remainingBody = remainingBody();
        return remainingBody == null || (!remainingBody.hasBeenRead() && !remainingBody.hasFailed());
    }
}
