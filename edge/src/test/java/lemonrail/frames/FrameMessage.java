package lemonrail.frames;

import lemonrail.exchange.Message;
import lemonrail.streaming.Pipe;

/** A request of the test's protocol: its id and a text. */
record FrameMessage(String id, String text) implements Message {

    @Override
    public int heldBytes() {
        return text.length();
    }

    @Override
    public Pipe rest() {
        return null;
    }
}
