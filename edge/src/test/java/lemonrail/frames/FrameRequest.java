package lemonrail.frames;

import lemonrail.exchange.ProtocolRequest;
import lemonrail.streaming.BodyPipe;

/** A request of the test protocol. */
record FrameRequest(String id, String text) implements ProtocolRequest {

    @Override
    public int bufferedBytes() {
        return text.length();
    }

    @Override
    public BodyPipe remainingBody() {
        return null;
    }
}
