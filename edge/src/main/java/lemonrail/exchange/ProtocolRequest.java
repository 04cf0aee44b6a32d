package lemonrail.exchange;

import lemonrail.streaming.BodyPipe;

/**
 * What a client sent, beyond what the decision module decides by. The exchange does not look into it: it
 * comes from a front and goes to an upstream of the same protocol. Where the body is large, the message holds
 * the first part of it, which can be sent again, and a pipe brings the rest, which cannot.
 */
public interface ProtocolRequest {

    /** The bytes of the body that are held for as long as the request is open. */
    int heldBytes();

    /** Where the rest of a large body comes from, or null where the message is whole. */
    BodyPipe rest();

    /** Whether the rest of a large body is still to come from the client. */
    default boolean isComing() {
        return rest() != null && !rest().hasEnded();
    }

    /** Whether it can still be sent from its first byte on. */
    default boolean isReplayable() {
        return rest() == null || (!rest().isTouched() && !rest().isBroken());
    }
}
