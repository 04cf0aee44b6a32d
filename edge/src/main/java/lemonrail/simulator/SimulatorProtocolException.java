package lemonrail.simulator;

/** Thrown for input that the adapter cannot handle; the message names the batch and, if known, the instance. */
public final class SimulatorProtocolException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message, Throwable cause) {
        super(message, cause);
    }
}
