package lemonrail.simulator;

import java.io.IOException;

/** Thrown for a batch that breaks the simulator's protocol; the message names what is wrong with it. */
final class MalformedBatchException extends IOException {

    private static final long serialVersionUID = 1L;

    MalformedBatchException(String message) {
        super(message);
    }
}
