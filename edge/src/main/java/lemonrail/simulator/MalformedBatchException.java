package lemonrail.simulator;

import java.io.IOException;

/** Thrown for a batch that violates the simulator's protocol; the message describes the violation. */
final class MalformedBatchException extends IOException {

    private static final long serialVersionUID = 1L;

    MalformedBatchException(String message) {
        super(message);
    }
}
