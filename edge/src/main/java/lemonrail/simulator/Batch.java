package lemonrail.simulator;

import java.util.List;

/**
 * One batch of the simulator, read whole.
 *
 * @param nowMs the simulator's clock
 * @param number what the reply is matched by
 * @param parts the events, by instance
 */
record Batch(double nowMs, long number, List<Part> parts) {

    /** The events of one instance, in order. */
    record Part(String instance, List<SimulatorEvent> events) {}
}
