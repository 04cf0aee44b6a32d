package lemonrail.simulator;

import java.util.List;

/**
 * One complete batch of events from the simulator.
 *
 * @param nowMs the simulator's time in milliseconds
 * @param number the batch number, by which the simulator matches the reply
 * @param parts the events, grouped by instance
 */
record Batch(double nowMs, long number, List<Part> parts) {

    /** The events of one instance, in the order in which they are handled. */
    record Part(String instance, List<SimulatorEvent> events) {}
}
